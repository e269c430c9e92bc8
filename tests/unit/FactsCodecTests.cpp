#include "support/Problems.h"
#include "support/Registry.h"
#include "support/Section.h"
#include "wasabiloom/registry/FactsCodec.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

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

TEST(FactsCodec, CarriesHowUrgentARouteIs)
{
  // Guards against hosts that learn a route from each other and then disagree
  // about which flows to refuse.
  for (const std::uint32_t priority : { 0U, 1U, 254U, 255U }) {
    for (const bool isIdempotent : { false, true }) {
      RegistryUpdate update = Sample();
      registry::Route route{ "q",
                             *base::ParseEndpoint("198.18.0.9:80"),
                             { { "desk", 1 } },
                             priority,
                             isIdempotent };
      update.m_facts = {
        { registry::FactKind::Route, "198.18.0.9:80", 4, route },
        ConfigurationFact(3, 4),
      };
      std::get<registry::Configuration>(update.m_facts[1].m_content)
        .m_routes = { route };
      EXPECT_EQ(ValueOf([&] { return DecodeUpdate(EncodeUpdate(update)); }),
                update)
        << priority << isIdempotent;
    }
  }
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

TEST(FactsCodec, ReadsTheFactsBesideOneThatCannotBeRead)
{
  // Guards against a host that refuses all that its peers send for one fact.
  RegistryUpdate update = Sample();
  const std::vector<registry::Fact> sound = update.m_facts;
  auto none = MakeServer("i-9");
  none.m_slots = 0;
  auto nowhere = MakeServer("i-10");
  nowhere.m_address = {};
  auto frozen = MakeServer("i-11");
  frozen.m_coldRemaining = base::Duration::max();
  const std::vector<registry::Fact> odd = {
    ServerFact(none, 6),
    ServerFact(nowhere, 6),
    ServerFact(frozen, 6),
    { registry::FactKind::Server, "i-12", 6, registry::ZoneOut{} },
    { registry::FactKind::Other, "x", 6, registry::Removed{} },
  };
  update.m_facts.insert(update.m_facts.begin(), odd.begin(), odd.end());
  const auto read = ValueOf([&] { return DecodeUpdate(EncodeUpdate(update)); });
  ASSERT_EQ(read.m_facts.size(), update.m_facts.size());
  for (std::size_t i = 0; i < odd.size(); ++i) {
    EXPECT_TRUE(std::holds_alternative<registry::MalformedValue>(
      read.m_facts[i].m_content))
      << i;
  }
  EXPECT_TRUE(
    std::equal(sound.begin(),
               sound.end(),
               read.m_facts.begin() + static_cast<std::ptrdiff_t>(odd.size())));

  Section("an update from the future is refused", [&] {
    update.m_age = std::chrono::seconds(-1);
    EXPECT_EQ(
      ProblemOf([&] { return DecodeUpdate(EncodeUpdate(update)); }).m_code,
      ResultCode::PeerMessageMalformed);
  });
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
