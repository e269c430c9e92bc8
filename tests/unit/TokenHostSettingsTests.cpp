#include "support/Problems.h"
#include "wasabiloom/settings/TokenHostSettings.h"

#include <gmock/gmock.h>

namespace wasabiloom::tests {

using base::ResultCode;
using settings::ReadTokenHostSettings;
using testing::HasSubstr;

namespace {

std::string
Settings(const std::string& aMore)
{
  return "// host\n{\"name\":\"h\",\"zone\":\"a\",\"address\":\"10.0.0.1\",\n"
         "\"packets\":\"10.0.0.1:1\",\"readiness\":\"10.0.0.1:2\",\n"
         "\"registry\":\"10.0.9.1:3\",\"peer_port\":4" +
         aMore + "}";
}

} // namespace

TEST(TokenHostSettings, AreReadWithDefaults)
{
  const auto read =
    ValueOf([] { return ReadTokenHostSettings(Settings(",\"peers\":[]")); });
  EXPECT_EQ(read.m_name, "h");
  EXPECT_EQ(read.m_metricsPort, 0);
  EXPECT_EQ(read.m_zoneOut, std::chrono::seconds(5));
  EXPECT_EQ(read.m_logLevel, "info");
}

TEST(TokenHostSettings, TakeWholeAndFractionalBounds)
{
  const auto read = ValueOf([] {
    return ReadTokenHostSettings(
      Settings(",\"peers\":[\"10.0.0.2:9\"],\"zone_out_ms\":2500.5,"
               "\"stop_grace_ms\":6000"));
  });
  EXPECT_EQ(read.m_zoneOut, std::chrono::microseconds(2'500'500));
  EXPECT_EQ(read.m_stopGrace, std::chrono::seconds(6));
  EXPECT_EQ(ToString(read.m_peers.at(0)), "10.0.0.2:9");
}

TEST(TokenHostSettings, AreRefusedWithKeyLineAndExpectation)
{
  struct Case
  {
    const char* m_more;
    ResultCode m_code;
    const char* m_detail;
  };
  const std::vector<Case> cases = {
    { "", ResultCode::JsonMissingKey, "\"peers\"" },
    { ",\"peers\":[],\n\"colour\":1",
      ResultCode::JsonUnknownKey,
      "line 5: colour" },
    { ",\"peers\":[1]", ResultCode::JsonWrongType, "peers[0]" },
    { ",\"peers\":[\"x\"]", ResultCode::JsonWrongType, "A.B.C.D:PORT" },
    { ",\"peers\":[],\"zone_out_ms\":\"5\"",
      ResultCode::JsonWrongType,
      "expected number" },
    { ",\"peers\":[],\"in_touch_ms\":-1",
      ResultCode::JsonOutOfRange,
      "in_touch_ms" },
    { ",\"peers\":[],\"metrics_port\":4",
      ResultCode::JsonClash,
      "different ports" },
    { ",\"peers\":[],\"log_level\":\"loud\"",
      ResultCode::JsonOutOfRange,
      "log_level" },
  };
  for (const Case& each : cases) {
    const auto problem =
      ProblemOf([&] { return ReadTokenHostSettings(Settings(each.m_more)); });
    EXPECT_EQ(problem.m_code, each.m_code) << each.m_more;
    EXPECT_THAT(problem.m_detail, HasSubstr(each.m_detail)) << each.m_more;
  }
}

} // namespace wasabiloom::tests
