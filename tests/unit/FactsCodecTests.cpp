#include "support/Problems.h"
#include "support/Registry.h"
#include "wasabiloom/registry/FactsCodec.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wasabiloom::tests {

using base::ResultCode;
using registry::DecodeFacts;
using registry::EncodeFacts;
using registry::Page;

namespace {

Page
Sample()
{
  auto server = MakeServer("i-1");
  server.m_coldFor = std::chrono::milliseconds(700);
  return {
    { ConfigurationFact(3, 4), ServerFact(server, 5), ZoneOutFact("b", 6) },
    "",
    9
  };
}

} // namespace

TEST(FactsCodec, BringsFactsAcross)
{
  const auto read = ValueOf([] { return DecodeFacts(EncodeFacts(Sample())); });
  EXPECT_EQ(read.m_facts, Sample().m_facts);
  EXPECT_EQ(read.m_revision, 9U);
}

TEST(FactsCodec, RefusesWhatIsNone)
{
  const std::string whole = EncodeFacts(Sample());
  for (std::size_t length = 0; length < whole.size(); ++length) {
    const auto problem = ProblemOf(
      [&] { return DecodeFacts(std::string_view(whole).substr(0, length)); });
    EXPECT_EQ(problem.m_code, ResultCode::PeerMessageMalformed) << length;
  }
}

RC_GTEST_PROP(FactsCodec, SurvivesAnyBytes, (const std::string& aBytes))
{
  ProblemOf([&] { return DecodeFacts(aBytes); });
}

RC_GTEST_PROP(FactsCodec, SurvivesAnyChange, ())
{
  std::string bytes = EncodeFacts(Sample());
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  ProblemOf([&] { return DecodeFacts(bytes); });
}

} // namespace wasabiloom::tests
