#include "platform/FactDecoder.h"
#include "support/Section.h"

#include <QByteArray>
#include <gmock/gmock.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <sys/resource.h>

namespace wasabiloom::tests {

using base::ResultCode;
using nlohmann::json;
using platform::DecodeRange;
using platform::DecodeValue;
using platform::DecodeWatch;
using registry::FactKind;
using testing::HasSubstr;

namespace {

json
Entry()
{
  return { { "Service", "desk" },
           { "Address", "10.128.0.9:8080" },
           { "Zone", "borgarnes" },
           { "Version", "v1" },
           { "Slots", 2 },
           { "State", "ready" },
           { "ColdRemainingMs", 1500 },
           { "Sequence", 4 },
           { "born", 1768772581052 } };
}

json
Config()
{
  return json::parse(R"({"Version":7,"Routes":[
    {"Name":"r-a","Host":"198.18.0.1","Prefix":"/8443/","Kind":"safe",
     "Split":[{"Service":"desk","Weight":90},{"Service":"vault","Weight":10}]},
    {"Name":"r-b","Host":"198.18.0.2","Prefix":"/8443/","Service":"vault"}],
    "Services":[{"Name":"desk","ColdPerS":4.5},{"Name":"vault"}],
    "Limits":{"IdleTimeoutMs":15000}})");
}

std::string
Base64(const std::string& aText)
{
  return QByteArray::fromStdString(aText).toBase64().toStdString();
}

json
Item(const std::string& aKey, const std::string& aValue, int aRevision)
{
  return { { "Key", aKey },
           { "Value", Base64(aValue) },
           { "Revision", aRevision },
           { "CreateRevision", 1 },
           { "Lease", 0 } };
}

std::string
WhyUnusable(const std::string& aKey, const std::string& aValue)
{
  const auto fact = DecodeValue(aKey, aValue, 3);
  const auto* unusable = std::get_if<registry::MalformedValue>(&fact.m_content);
  return unusable == nullptr ? "usable" : unusable->m_reason;
}

} // namespace

TEST(FactDecoder, ReadsAnEntry)
{
  const auto fact = DecodeValue("servers/i-7f3a91c2", Entry().dump(), 12);
  EXPECT_EQ(fact.m_kind, FactKind::Server);
  EXPECT_EQ(fact.m_name, "i-7f3a91c2");
  EXPECT_EQ(fact.m_revision, 12U);
  const auto& server = std::get<registry::Server>(fact.m_content);
  EXPECT_EQ(server.m_numericId, 0x7f3a91c2U);
  EXPECT_EQ(server.m_startId, 1768772581052U);
  EXPECT_EQ(server.m_service, "desk");
  EXPECT_EQ(server.m_zone, "borgarnes");
  EXPECT_EQ(server.m_slots, 2U);
  EXPECT_EQ(server.m_coldRemaining, std::chrono::milliseconds(1500));

  Section("one that leaves", [] {
    json entry = Entry();
    entry["State"] = "draining";
    const auto leaving = DecodeValue("servers/i-1", entry.dump(), 1);
    EXPECT_EQ(std::get<registry::Server>(leaving.m_content).m_state,
              registry::ServerState::Draining);
  });
}

TEST(FactDecoder, SetsEntriesAsideThatNameNoUsableServer)
{
  for (const char* field :
       { "Service", "Address", "Zone", "Slots", "State", "born" }) {
    json missing = Entry();
    missing.erase(field);
    EXPECT_NE(WhyUnusable("servers/i-1", missing.dump()), "usable") << field;
    json odd = Entry();
    odd[field] = json::array();
    EXPECT_NE(WhyUnusable("servers/i-1", odd.dump()), "usable") << field;
  }
  const std::map<std::string, json> values = {
    { "State", "asleep" },
    { "Address", "nowhere:1" },
    { "Address", "1.2.3.4" },
    { "Slots", 0 },
    { "Slots", -3 },
    { "Slots", 1.5 },
    { "born", 1.5 },
    { "Service", "" },
    { "Zone", "" },
    { "Address", "10.128.0.9:70000" },
    { "Slots", 1e30 },
    { "born", 1e30 },
    { "Address", "10.128.0.9:99999999999999999999" },
  };
  for (const auto& [field, value] : values) {
    json entry = Entry();
    entry[field] = value;
    EXPECT_NE(WhyUnusable("servers/i-1", entry.dump()), "usable")
      << field << " " << value;
  }
  EXPECT_THAT(WhyUnusable("servers/i-xyz", Entry().dump()), HasSubstr("hex"));
  EXPECT_THAT(WhyUnusable("servers/", Entry().dump()), HasSubstr("hex"));
  EXPECT_NE(WhyUnusable("servers/i-1", "\xff\xfe{"), "usable");
  EXPECT_NE(WhyUnusable("servers/i-1", "[]"), "usable");
  EXPECT_NE(WhyUnusable("servers/i-1", R"({"born":1e999})"), "usable");
}

TEST(FactDecoder, SetsAValueAsideThatWouldTakeMuchMemory)
{
  // Guards against hosts that end again and again, as one odd entry is nested
  // so deeply that a parsed copy exceeds the memory of a small machine.
  constexpr std::size_t kMebibyte = 1'048'576;
  constexpr long kMoreKilobytes = 16'384;
  const std::string nested(kMebibyte, '[');
  rusage before{};
  getrusage(RUSAGE_SELF, &before);
  EXPECT_THAT(WhyUnusable("op/config", nested), HasSubstr("nested"));
  EXPECT_NE(WhyUnusable("servers/i-1", nested), "usable");
  EXPECT_TRUE(
    std::holds_alternative<registry::CallFailure>(DecodeRange(nested)));
  rusage after{};
  getrusage(RUSAGE_SELF, &after);
  EXPECT_LT(after.ru_maxrss - before.ru_maxrss, kMoreKilobytes);

  Section("an entry that is much longer than any sound one", [] {
    json entry = Entry();
    entry["More"] = std::string(kMebibyte / 2, 'x');
    EXPECT_THAT(WhyUnusable("servers/i-1", entry.dump()), HasSubstr("long"));
  });
  Section("brackets in a text are no nesting", [] {
    json entry = Entry();
    entry["More"] = std::string(1000, '[') + "\"\\";
    EXPECT_EQ(WhyUnusable("servers/i-1", entry.dump()), "usable");
  });
}

TEST(FactDecoder, ReadsTheConfiguration)
{
  const auto fact = DecodeValue("op/config", Config().dump(), 2);
  const auto& read = std::get<registry::Configuration>(fact.m_content);
  EXPECT_EQ(read.m_version, 7U);
  ASSERT_EQ(read.m_routes.size(), 2U);
  EXPECT_EQ(ToString(read.m_routes[0].m_address), "198.18.0.1:8443");
  EXPECT_EQ(
    read.m_routes[0].m_shares,
    (std::vector<registry::ServiceShare>{ { "desk", 90 }, { "vault", 10 } }));
  EXPECT_EQ(read.m_routes[1].m_shares,
            (std::vector<registry::ServiceShare>{ { "vault", 1 } }));
  EXPECT_EQ(read.m_services[0].m_coldFlowsPerSecond, 4.5);
  EXPECT_EQ(read.m_idleTimeout, std::chrono::seconds(15));

  Section("or refuses it whole without a version or routes", [] {
    for (const char* field : { "Version", "Routes" }) {
      json config = Config();
      config.erase(field);
      EXPECT_NE(WhyUnusable("op/config", config.dump()), "usable") << field;
      config[field] = "many";
      EXPECT_NE(WhyUnusable("op/config", config.dump()), "usable") << field;
    }
  });
}

TEST(FactDecoder, LeavesOutOnlyThePartsOfAConfigurationThatCannotBeRead)
{
  // Guards against a version that is not in force at all for one odd part.
  json config = Config();
  config["Routes"][0]["Prefix"] = "8443";
  config["Services"][0]["ColdPerS"] = "few";
  config["Limits"]["IdleTimeoutMs"] = "long";
  const auto fact = DecodeValue("op/config", config.dump(), 2);
  const auto& read = std::get<registry::Configuration>(fact.m_content);
  EXPECT_EQ(read.m_version, 7U);
  ASSERT_EQ(read.m_routes.size(), 1U);
  EXPECT_EQ(read.m_routes[0].m_name, "r-b");
  ASSERT_EQ(read.m_services.size(), 1U);
  EXPECT_EQ(read.m_services[0].m_name, "vault");

  Section("each is named with its reason", [&] {
    ASSERT_EQ(fact.m_leftOut.size(), 3U);
    EXPECT_THAT(fact.m_leftOut[0], HasSubstr("Prefix"));
    EXPECT_THAT(fact.m_leftOut[1], HasSubstr("service"));
    EXPECT_THAT(fact.m_leftOut[2], HasSubstr("IdleTimeoutMs"));
  });
  Section("a sound one leaves out nothing", [] {
    EXPECT_TRUE(DecodeValue("op/config", Config().dump(), 2).m_leftOut.empty());
  });
}

TEST(FactDecoder, TakesNumbersThatAreLargerThanItNeeds)
{
  // Guards against a configuration that no host takes, as a number in it is
  // larger than this project expected: its dropped routes were served on.
  const auto idleOf = [](const json& aMilliseconds) {
    json config = Config();
    config["Limits"]["IdleTimeoutMs"] = aMilliseconds;
    const auto fact = DecodeValue("op/config", config.dump(), 2);
    const auto* read = std::get_if<registry::Configuration>(&fact.m_content);
    return read == nullptr ? base::Duration(-1) : read->m_idleTimeout;
  };
  EXPECT_EQ(idleOf(604'800'000), std::chrono::hours(24 * 7));
  EXPECT_EQ(idleOf(0), base::Duration::zero());
  EXPECT_GT(idleOf(UINT64_MAX), std::chrono::hours(24 * 365 * 100));
  EXPECT_GT(idleOf(1e300), std::chrono::hours(24 * 365 * 100));

  Section("a weight", [] {
    json config = Config();
    config["Routes"][0]["Split"][0]["Weight"] = 5'000'000;
    const auto fact = DecodeValue("op/config", config.dump(), 2);
    const auto& read = std::get<registry::Configuration>(fact.m_content);
    EXPECT_EQ(read.m_routes[0].m_shares[0].m_weight, 5'000'000U);
  });
  Section("the time for which a server stays cold", [] {
    json entry = Entry();
    entry["ColdRemainingMs"] = UINT64_MAX;
    const auto fact = DecodeValue("servers/i-1", entry.dump(), 2);
    EXPECT_EQ(std::get<registry::Server>(fact.m_content).m_coldRemaining,
              std::chrono::hours(1));
  });
}

TEST(FactDecoder, ReadsHowUrgentARouteIs)
{
  // Guards against a route that is not served, or is taken for urgent, because
  // its priority or kind can't be read.
  const auto routeOf = [](const char* aField, const json& aValue) {
    json config = Config();
    config["Routes"][1]["Priority"] = 1;
    config["Routes"][1]["Kind"] = "safe";
    if (aValue.is_discarded()) {
      config["Routes"][1].erase(aField);
    } else {
      config["Routes"][1][aField] = aValue;
    }
    const auto fact = DecodeValue("op/config", config.dump(), 2);
    EXPECT_TRUE(fact.m_leftOut.empty());
    return std::get<registry::Configuration>(fact.m_content).m_routes.at(1);
  };
  EXPECT_EQ(routeOf("Priority", 0).m_priority, 0U);
  EXPECT_EQ(routeOf("Priority", 7).m_priority, 7U);
  EXPECT_EQ(routeOf("Priority", 255).m_priority, registry::kLowestPriority);
  for (const char* kind : { "safe", "download" }) {
    EXPECT_TRUE(routeOf("Kind", kind).m_isIdempotent) << kind;
  }

  Section("a priority that is missing, malformed or too large is the lowest",
          [&] {
            const std::vector<json> odd = { json(json::value_t::discarded),
                                            nullptr,
                                            -1,
                                            1.5,
                                            "1",
                                            json::array({ 1 }),
                                            256,
                                            UINT64_MAX,
                                            1e300 };
            for (const json& priority : odd) {
              EXPECT_EQ(routeOf("Priority", priority).m_priority,
                        registry::kLowestPriority)
                << priority.type_name();
            }
          });
  Section(
    "a kind that is missing, malformed or unknown is not idempotent", [&] {
      const std::vector<json> odd = {
        json(json::value_t::discarded), nullptr, 1, "", "Safe", "unsafe",
        json::array({ "safe" })
      };
      for (const json& kind : odd) {
        EXPECT_FALSE(routeOf("Kind", kind).m_isIdempotent) << kind.type_name();
      }
    });
}

TEST(FactDecoder, ReadsAZoneOutWhateverItsValue)
{
  for (const char* value : { "{}", "", "junk" }) {
    const auto fact = DecodeValue("op/evacuate/akranes", value, 2);
    EXPECT_EQ(fact.m_kind, FactKind::ZoneOut);
    EXPECT_EQ(fact.m_name, "akranes");
    EXPECT_TRUE(std::holds_alternative<registry::ZoneOut>(fact.m_content));
  }
}

TEST(FactDecoder, ReadsPagesAndChanges)
{
  const json page = {
    { "items",
      { Item("op/config", Config().dump(), 2),
        Item("servers/i-1", Entry().dump(), 9) } },
    { "HasMore", true },
    { "StoreRevision", 11 },
  };
  const auto range = std::get<registry::Page>(DecodeRange(page.dump()));
  EXPECT_EQ(range.m_facts.size(), 2U);
  EXPECT_EQ(range.m_nextKey, "servers/i-1");
  EXPECT_EQ(range.m_revision, 11U);

  const json changes = {
    { "events",
      { { { "Key", "servers/i-1" }, { "Revision", 12 }, { "Removed", true } },
        Item("servers/i-2", "junk", 13) } },
    { "StoreRevision", 13 },
  };
  const auto watch = std::get<registry::Changes>(DecodeWatch(changes.dump()));
  ASSERT_EQ(watch.m_facts.size(), 2U);
  EXPECT_TRUE(
    std::holds_alternative<registry::Removed>(watch.m_facts[0].m_content));
  EXPECT_TRUE(std::holds_alternative<registry::MalformedValue>(
    watch.m_facts[1].m_content));

  Section("a value that is no base64 harms no other", [&] {
    json odd = page;
    odd["items"][0]["Value"] = "%%%";
    const auto read = std::get<registry::Page>(DecodeRange(odd.dump()));
    EXPECT_TRUE(std::holds_alternative<registry::MalformedValue>(
      read.m_facts[0].m_content));
    EXPECT_TRUE(
      std::holds_alternative<registry::Server>(read.m_facts[1].m_content));
  });
}

TEST(FactDecoder, ReadsTheItemsBesideOneThatCannotBeRead)
{
  // Guards against hosts that stop following the list, as one item of a page or
  // of a watch's answer can't be read.
  const json good = Item("servers/i-1", Entry().dump(), 9);
  std::vector<json> odd = { 3, nullptr, json::array(), json::object() };
  for (const char* field : { "Key", "Value", "Revision" }) {
    json item = Item("servers/i-0", Entry().dump(), 8);
    item[field] = json::array();
    odd.push_back(item);
    item.erase(field);
    odd.push_back(item);
  }
  for (const json& item : odd) {
    const json page = { { "items", { item, good } },
                        { "HasMore", false },
                        { "StoreRevision", 11 } };
    const auto read = DecodeRange(page.dump());
    ASSERT_TRUE(std::holds_alternative<registry::Page>(read)) << item;
    const auto& facts = std::get<registry::Page>(read).m_facts;
    ASSERT_EQ(facts.size(), 2U);
    EXPECT_TRUE(
      std::holds_alternative<registry::MalformedValue>(facts[0].m_content))
      << item;
    EXPECT_EQ(facts[1].m_name, "i-1");
    const json changes = { { "events", { item, good } },
                           { "StoreRevision", 11 } };
    EXPECT_TRUE(
      std::holds_alternative<registry::Changes>(DecodeWatch(changes.dump())))
      << item;
  }

  Section("the next page begins after the last key that can be read", [&] {
    const json page = { { "items", { good, 3 } },
                        { "HasMore", true },
                        { "StoreRevision", 11 } };
    EXPECT_EQ(std::get<registry::Page>(DecodeRange(page.dump())).m_nextKey,
              "servers/i-1");
  });
  Section("a key of bytes that are no UTF-8", [&] {
    const json page = { { "items", { Item("servers/?", "{}", 8), good } },
                        { "HasMore", false },
                        { "StoreRevision", 11 } };
    std::string body = page.dump();
    body[body.find('?')] = '\xff';
    const auto read = DecodeRange(body);
    ASSERT_TRUE(std::holds_alternative<registry::Page>(read));
    EXPECT_EQ(std::get<registry::Page>(read).m_facts[1].m_name, "i-1");
  });
}

TEST(FactDecoder, RefusesAnswersThatAreNone)
{
  for (const char* body :
       { "",
         "{",
         "[]",
         "{}",
         R"({"items":3,"HasMore":false,"StoreRevision":1})",
         R"({"items":[],"HasMore":true,"StoreRevision":1})",
         R"({"items":[3],"HasMore":true,"StoreRevision":1})",
         R"({"items":[],"HasMore":false,"StoreRevision":0})",
         R"({"items":[],"HasMore":1,"StoreRevision":1})",
         R"({"items":[],"HasMore":false,"StoreRevision":"1"})" }) {
    const auto answer = DecodeRange(body);
    ASSERT_TRUE(std::holds_alternative<registry::CallFailure>(answer)) << body;
    EXPECT_EQ(std::get<registry::CallFailure>(answer).m_code,
              ResultCode::RegistryMalformed);
  }
  EXPECT_TRUE(std::holds_alternative<registry::CallFailure>(DecodeWatch("{}")));
}

RC_GTEST_PROP(FactDecoder, SurvivesAnyValue, (const std::string& aValue))
{
  for (const char* key :
       { "op/config", "servers/i-1", "op/evacuate/a", "other" }) {
    DecodeValue(key, aValue, 1);
  }
  DecodeRange(aValue);
  DecodeWatch(aValue);
}

RC_GTEST_PROP(FactDecoder, SurvivesAnyChangeOfAGoodValue, ())
{
  std::string text = *rc::gen::element(Entry().dump(), Config().dump());
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  text[at] = *rc::gen::arbitrary<char>();
  DecodeValue("servers/i-1", text, 1);
  DecodeValue("op/config", text, 1);
}

} // namespace wasabiloom::tests
