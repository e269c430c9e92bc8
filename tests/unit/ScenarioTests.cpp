#include "Runner.h"
#include "support/Problems.h"
#include "support/Section.h"

#include <gmock/gmock.h>

namespace wasabiloom::tests {

using scenario::ParseScript;
using scenario::Policy;
using scenario::RunScript;
using testing::HasSubstr;

namespace {

const char* const kSmall = "seed 3\n"
                           "zones a b\n"
                           "hosts 3\n"
                           "link delay 1ms 3ms loss 1\n"
                           "service desk connections 4\n"
                           "flows desk 300 over 5s life 2s 60s gap 1s\n"
                           "at 10s drain desk-2\n"
                           "at 12s kill h2\n"
                           "run 30s\n";

} // namespace

TEST(ScenarioLanguage, NamesTheLineItDoesNotUnderstand)
{
  const std::vector<std::pair<const char*, const char*>> cases = {
    { "seed 1\nhoosts 3\n", "line 2: expected a command, found \"hoosts\"" },
    { "hosts many\n", "line 1: expected a number, found \"many\"" },
    { "run 10\n", "expected a time such as 250ms" },
    { "expect x < 3\n", "expected =, <= or >=" },
  };
  for (const auto& [text, message] : cases) {
    Section(text, [&, &input = text, &wanted = message] {
      EXPECT_THAT(ProblemOf([&] { return ParseScript(input); }).m_detail,
                  HasSubstr(wanted));
    });
  }
  Section("a verb is checked when its time comes", [] {
    const auto script = ValueOf([] {
      return ParseScript("zones a\nhosts 1\nat 1s explode h1\nrun 2s\n");
    });
    const auto problem = ProblemOf(
      [&] { return RunScript(script, Policy::OwnedWindows, std::nullopt); });
    EXPECT_THAT(problem.m_detail, HasSubstr("line 3: expected a verb"));
  });
}

TEST(ScenarioLanguage, GivesTheSameMeasuresForTheSameSeed)
{
  const auto script = ValueOf([] { return ParseScript(kSmall); });
  const auto measure = [](const scenario::Script& aScript) {
    return ValueOf([&] {
             return RunScript(aScript, Policy::OwnedWindows, std::nullopt);
           })
      .Text();
  };
  EXPECT_EQ(measure(script), measure(script));
  Section("and others for another", [&] {
    auto other = script;
    other.m_seed = 4;
    EXPECT_NE(measure(script), measure(other));
  });
}

TEST(ScenarioLanguage, SeesWhatTheSimplerWaysBreak)
{
  const auto script = ValueOf([] { return ParseScript(kSmall); });
  const auto broken = [&](Policy aPolicy) {
    return ValueOf([&] { return RunScript(script, aPolicy, std::nullopt); })
      .Value("flows_broken");
  };
  EXPECT_GT(broken(Policy::TableOnly), 0);
  EXPECT_GT(broken(Policy::FlowCache), 0);
  EXPECT_EQ(broken(Policy::OwnedWindows), 0);
}

} // namespace wasabiloom::tests
