#include "support/Problems.h"
#include "support/Registry.h"
#include "wasabiloom/base/Frame.h"
#include "wasabiloom/fleet/MessageCodec.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wasabiloom::tests {

using namespace fleet;
using base::ResultCode;

namespace {

Message
Sample(Content aContent)
{
  return { { { 0x0a010001 }, "a", 7, MemberState::Alive, 24 },
           { { { 0x0a010002 }, "b", 8, MemberState::Suspect },
             { { 0x0a010003 }, "b", 9, MemberState::Gone } },
           std::move(aContent) };
}

RelayedUpdate
SampleNews()
{
  return { { 3, 9, {}, { ServerFact(MakeServer("i-1"), 5) } },
           true,
           { { 0x0a010004 }, { 0x0a010005 } } };
}

LoadReport
SampleReport()
{
  using namespace std::chrono_literals;
  const placing::ServerGroup desk{ "desk", "a" };
  const placing::ServerGroup stock{ "stock", "b" };
  return { 9,
           { { { desk, 2.25 }, { stock, 0.5 } },
             { { 7, 12300us, 3, false }, { 8, 0ms, 0, true } } },
           { { { desk, { 2.5, 3 } }, { stock, { 1, 0 } } },
             5,
             { { "c", stock, 1.75, 12, 340ms } } } };
}

} // namespace

TEST(MessageCodec, DecodesEveryKindOfMessageAsEncoded)
{
  for (const Content& content :
       { Content(Probe{ 1, true }),
         Content(ProbeAnswer{ 2 }),
         Content(ProbeRequest{ 3, { 4 } }),
         Content(MemberList{}),
         Content(SampleNews()),
         Content(FactsWanted{}),
         Content(FactsKnown{}),
         Content(Providers{ { { 5 }, { 6 } }, 7, true }),
         Content(RegistrySilent{}),
         Content(SampleReport()),
         Content(LoadReport{}) }) {
    const Message message = Sample(content);
    const Message read =
      ValueOf([&] { return DecodeMessage(EncodeMessage(message)); });
    EXPECT_EQ(read, message) << content.index();
  }
}

TEST(MessageCodec, RejectsTruncatedMessages)
{
  const std::string whole = EncodeMessage(Sample(SampleNews()));
  for (std::size_t length = 0; length < whole.size(); ++length) {
    const auto problem = ProblemOf(
      [&] { return DecodeMessage(std::string_view(whole).substr(0, length)); });
    EXPECT_EQ(problem.m_code, ResultCode::PeerMessageMalformed) << length;
  }
}

TEST(MessageCodec, RejectsLoadReportsWithTooManyItems)
{
  LoadReport servers = SampleReport();
  servers.m_load.m_servers.resize(placing::kMaxServersPerReport + 1);
  LoadReport zones = SampleReport();
  zones.m_learned.m_zones.resize(placing::kMaxZoneRequests + 1,
                                 zones.m_learned.m_zones.front());
  LoadReport names = SampleReport();
  names.m_load.m_requests.front().m_group.m_service =
    std::string(placing::kMaxNameBytes + 1, 'x');
  for (const LoadReport& report : { servers, zones, names }) {
    const auto problem =
      ProblemOf([&] { return DecodeMessage(EncodeMessage(Sample(report))); });
    EXPECT_EQ(problem.m_code, ResultCode::PeerMessageMalformed);
  }
}

TEST(MessageCodec, DecodesOrRejectsALoadReportWithAnyChangedBody)
{
  // A valid checksum around a changed body: the fields themselves are checked.
  const std::string whole = EncodeMessage(Sample(SampleReport()));
  const std::string body = whole.substr(5);
  for (std::size_t at = 0; at < body.size(); ++at) {
    for (int value = 0; value < 256; ++value) {
      std::string changed = body;
      changed[at] = static_cast<char>(value);
      ProblemOf([&] { return DecodeMessage(base::Seal(2, changed)); });
    }
  }
}

RC_GTEST_PROP(MessageCodec, DecodesOrRejectsAMessageWithAChangedByte, ())
{
  std::string bytes = EncodeMessage(Sample(SampleNews()));
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  ProblemOf([&] { return DecodeMessage(bytes); });
}

RC_GTEST_PROP(MessageCodec,
              DecodesOrRejectsArbitraryBytes,
              (const std::string& aBytes))
{
  ProblemOf([&] { return DecodeMessage(aBytes); });
}

} // namespace wasabiloom::tests
