#include "support/Problems.h"
#include "support/Registry.h"
#include "wasabiloom/registry/FactsCodec.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wasabiloom::tests {

using namespace std::chrono_literals;
using base::ResultCode;
using registry::DecodeUpdate;
using registry::EncodeUpdate;
using registry::RegistryUpdate;

namespace {

RegistryUpdate
Sample()
{
  auto server = MakeServer("i-1");
  server.m_coldRemaining = std::chrono::milliseconds(700);
  return { 3,
           9,
           std::chrono::milliseconds(40),
           { ConfigurationFact(3, 4),
             { registry::FactKind::Configuration,
               "",
               4,
               registry::GlobalConfiguration{ 3, { { "desk", 2.5 } }, 9s } },
             { registry::FactKind::Route,
               "198.18.0.9:80",
               4,
               registry::Route{ "q",
                                *base::ParseEndpoint("198.18.0.9:80"),
                                { { "desk", 3 }, { "scan", 1 } } } },
             RemovedFact(registry::FactKind::Route, "198.18.0.8:80", 4),
             ServerFact(server, 5),
             ZoneOutFact("b", 6),
             RemovedFact(registry::FactKind::Server, "i-2", 7),
             RemovedFact(registry::FactKind::ZoneOut, "c", 8) } };
}

} // namespace

TEST(FactsCodec, DecodesWhatItEncoded)
{
  const auto read =
    ValueOf([] { return DecodeUpdate(EncodeUpdate(Sample())); });
  EXPECT_EQ(read, Sample());
}

TEST(FactsCodec, RejectsTruncatedUpdates)
{
  const std::string whole = EncodeUpdate(Sample());
  for (std::size_t length = 0; length < whole.size(); ++length) {
    const auto problem = ProblemOf(
      [&] { return DecodeUpdate(std::string_view(whole).substr(0, length)); });
    EXPECT_EQ(problem.m_code, ResultCode::PeerMessageMalformed) << length;
  }
}

RC_GTEST_PROP(FactsCodec,
              DecodesArbitraryBytesWithoutCrashing,
              (const std::string& aBytes))
{
  ProblemOf([&] { return DecodeUpdate(aBytes); });
}

RC_GTEST_PROP(FactsCodec, DecodesUpdatesWithOneChangedByteWithoutCrashing, ())
{
  std::string bytes = EncodeUpdate(Sample());
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  ProblemOf([&] { return DecodeUpdate(bytes); });
}

} // namespace wasabiloom::tests
