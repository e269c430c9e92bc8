#include "support/Problems.h"
#include "support/Registry.h"
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
         Content(RegistrySilent{}) }) {
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
