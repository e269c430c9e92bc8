#include "support/Problems.h"
#include "support/Section.h"
#include "wasabiloom/base/Files.h"
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

/// Returns `aText` with each `aFrom` replaced by `aTo`.
std::string
Replace(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  for (auto at = aText.find(aFrom); at != std::string::npos;
       at = aText.find(aFrom, at + aTo.size())) {
    aText.replace(at, aFrom.size(), aTo);
  }
  return aText;
}

/// Renders the template of the deploy folder as the users' platform would, with
/// `aBound` as each number of its bounds and limits.
std::string
RenderTemplate(const std::string& aBound)
{
  std::string text = ValueOf(
    [] { return base::ReadFile(SOURCE_DIR "/deploy/settings.template"); });
  for (const char* field : { "NodeName", "Zone" }) {
    text = Replace(text, "{{" + std::string(field) + "|json}}", "\"x\"");
  }
  text = Replace(text, "{{IpAddress|json}}", "\"10.0.0.1\"");
  for (const char* field :
       { ".", "Listen.DatagramAddress", "Listen.Ready", "platform.Address" }) {
    text =
      Replace(text, "{{" + std::string(field) + "|json}}", "\"10.0.0.1:5\"");
  }
  text = Replace(text, "{{InternalPorts.0}}", "7720");
  text = Replace(text, "{{.}}", aBound);
  for (const char* mark : { "{{#", "{{/", "{{," }) {
    for (auto at = text.find(mark); at != std::string::npos;
         at = text.find(mark)) {
      text.erase(at, text.find("}}", at) + 2 - at);
    }
  }
  return text;
}

} // namespace

TEST(TokenHostSettings, AreReadFromTheRenderedTemplate)
{
  // Guards against a host that ends at once on SIGTERM, as a fraction of a
  // second became a number with zeros behind it.
  for (const char* bound : { "2.5", "2.0", "6" }) {
    const auto read =
      ValueOf([&] { return ReadTokenHostSettings(RenderTemplate(bound)); });
    const std::chrono::duration<double> seconds(std::stod(bound));
    EXPECT_EQ(read.m_stopGrace, seconds) << bound;
    EXPECT_EQ(read.m_zoneOut, seconds / 1000) << bound;
    EXPECT_EQ(read.m_cores, seconds.count()) << bound;
  }
}

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

TEST(TokenHostSettings, SwitchLoadFeaturesOn)
{
  Section("all are off by default", [] {
    const auto read =
      ValueOf([] { return ReadTokenHostSettings(Settings(",\"peers\":[]")); });
    EXPECT_EQ(read.m_loadReportInterval, base::Duration::zero());
    EXPECT_FALSE(read.m_zoneBalance);
    EXPECT_FALSE(read.m_admission);
    EXPECT_FALSE(read.m_slowStart);
  });
  Section("each has a key of its own", [] {
    const auto readWith = [](const std::string& aMore) {
      return ValueOf([&] {
        return ReadTokenHostSettings(Settings(",\"peers\":[]," + aMore));
      });
    };
    EXPECT_EQ(readWith("\"load_report_ms\":500").m_loadReportInterval,
              std::chrono::milliseconds(500));
    EXPECT_TRUE(readWith("\"zone_balance\":true").m_zoneBalance);
    EXPECT_TRUE(readWith("\"admission\":true").m_admission);
    EXPECT_TRUE(readWith("\"slow_start\":true").m_slowStart);
    EXPECT_FALSE(readWith("\"zone_balance\":true").m_admission);
  });
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
    { ",\"peers\":[],\"load_report_ms\":-1",
      ResultCode::JsonOutOfRange,
      "load_report_ms" },
    { ",\"peers\":[],\"load_report_ms\":60001",
      ResultCode::JsonOutOfRange,
      "load_report_ms" },
    { ",\"peers\":[],\"zone_balance\":1",
      ResultCode::JsonWrongType,
      "zone_balance" },
    { ",\"peers\":[],\"admission\":\"yes\"",
      ResultCode::JsonWrongType,
      "admission" },
    { ",\"peers\":[],\"slow_start\":null",
      ResultCode::JsonWrongType,
      "slow_start" },
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
