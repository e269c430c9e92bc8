#include "support/Problems.h"
#include "support/Section.h"
#include "wasabiloom/settings/HostSettings.h"

#include <gmock/gmock.h>

namespace wasabiloom::tests {

using base::ResultCode;
using settings::ReadSettings;
using testing::HasSubstr;

namespace {

std::string
Settings(const std::string& aMore)
{
  return "// host\n{\"name\":\"h\",\"zone\":\"a\",\"address\":\"10.0.0.1\",\n"
         "\"config_service\":\"10.0.0.8:1\",\"host_list\":\"10.0.0.9:1\"" +
         aMore + "}";
}

} // namespace

TEST(Settings, AreReadWithDefaults)
{
  const auto read =
    ValueOf([] { return ReadSettings(Settings(",\"trusted_keys\":[]")); });
  EXPECT_EQ(read.m_name, "h");
  EXPECT_EQ(read.m_ports.m_packets, 6080);
  EXPECT_EQ(read.m_logLevel, "info");
}

TEST(Settings, AreRefusedWithKeyLineAndExpectation)
{
  struct Case
  {
    const char* m_more;
    ResultCode m_code;
    const char* m_detail;
  };
  const std::vector<Case> cases = {
    { "", ResultCode::JsonMissingKey, "\"trusted_keys\"" },
    { ",\"trusted_keys\":[],\n\"colour\":1",
      ResultCode::JsonUnknownKey,
      "line 4: colour" },
    { ",\"trusted_keys\":[1]", ResultCode::JsonWrongType, "trusted_keys[0]" },
    { ",\"trusted_keys\":[\"x\"]", ResultCode::KeyInvalid, "line 3" },
    { ",\"trusted_keys\":[],\"ports\":{\"peer\":0}",
      ResultCode::JsonOutOfRange,
      "ports.peer: expected 1 to 65535" },
    { ",\"trusted_keys\":[],\"ports\":{\"peer\":6080}",
      ResultCode::JsonClash,
      "\"peer\" and \"packets\" are both 6080" },
    { ",\"trusted_keys\":[],\"log\":{\"level\":\"loud\"}",
      ResultCode::JsonOutOfRange,
      "log.level: expected one of" },
  };
  for (const Case& wrong : cases) {
    Section(wrong.m_more, [&] {
      const auto problem =
        ProblemOf([&] { return ReadSettings(Settings(wrong.m_more)); });
      EXPECT_EQ(problem.m_code, wrong.m_code);
      EXPECT_THAT(problem.m_detail, HasSubstr(wrong.m_detail));
    });
  }
  Section("the platform's two addresses must differ", [] {
    const auto problem = ProblemOf([] {
      return ReadSettings(
        "{\"name\":\"h\",\"zone\":\"a\",\"address\":\"10.0.0.1\","
        "\"config_service\":\"10.0.0.9:1\",\"host_list\":\"10.0.0.9:1\","
        "\"trusted_keys\":[]}");
    });
    EXPECT_EQ(problem.m_code, ResultCode::JsonClash);
  });
}

} // namespace wasabiloom::tests
