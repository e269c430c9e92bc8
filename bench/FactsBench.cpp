#include "LoneHost.h"
#include "support/Registry.h"
#include "wasabiloom/base/Hash.h"
#include "wasabiloom/placing/LoadTable.h"
#include "wasabiloom/registry/FactsCodec.h"
#include "wasabiloom/token/ServerSelector.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <set>

namespace wasabiloom::bench {

namespace {

constexpr std::array<std::size_t, 3> kServers = { 14, 300, 11'000 };
constexpr std::size_t kRoutes = 810;
constexpr std::size_t kZones = 14;
constexpr int kRounds = 5;
constexpr std::uint64_t kChoices = 20'000;

/// One more server may cost so much more in the largest listing than in the
/// middle one: maps grow by their logarithm, and memory gets farther away.
constexpr double kMaxIndexGrowth = 4;

/// A choice may cost so much more among the most servers than among 300.
constexpr double kMaxChoiceGrowth = 3;

using Clock = std::chrono::steady_clock;

double
NanosecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::nano>(Clock::now() - aStart)
    .count();
}

std::vector<registry::Fact>
Listing(std::size_t aServers)
{
  registry::Configuration configuration;
  configuration.m_version = 1;
  for (std::size_t i = 0; i < kRoutes; ++i) {
    const auto host = static_cast<std::uint32_t>(0xc6120000 + i);
    configuration.m_routes.push_back(
      { "route-" + std::to_string(i), { { host }, 80 }, { { "desk", 1 } } });
  }
  std::vector<registry::Fact> facts = {
    { registry::FactKind::Configuration, "", 1, configuration }
  };
  for (std::size_t i = 0; i < aServers; ++i) {
    registry::Server server = tests::MakeServer("i-1");
    server.m_numericId = base::Mix(i + 1);
    server.m_id = "i-" + std::to_string(server.m_numericId);
    server.m_zone = "zone-" + std::to_string(i % kZones);
    facts.push_back(tests::ServerFact(server, i + 2));
  }
  return facts;
}

void
Learn(registry::RegistryCache& aCache,
      const std::vector<registry::Fact>& aFacts)
{
  std::set<std::pair<registry::FactKind, std::string>> found;
  for (const registry::Fact& fact : aFacts) {
    aCache.Apply(fact, tests::At(0));
    found.emplace(fact.m_kind, fact.m_name);
  }
  aCache.EndListing(aFacts.size() + 1, found, tests::At(0));
}

double
TimeIndex(const std::vector<registry::Fact>& aFacts)
{
  double best = 1e18;
  for (int round = 0; round < kRounds; ++round) {
    registry::RegistryCache beliefs;
    const auto start = Clock::now();
    Learn(beliefs, aFacts);
    best = std::min(best, NanosecondsSince(start));
  }
  return best;
}

double
TimeDecode(const std::vector<registry::Fact>& aFacts)
{
  const std::string bytes = registry::EncodeUpdate({ 0, 9, {}, aFacts });
  double best = 1e18;
  for (int round = 0; round < kRounds; ++round) {
    const auto start = Clock::now();
    base::Handle(
      [&] { return registry::DecodeUpdate(bytes); },
      [](const base::Problem&) { return registry::RegistryUpdate{}; });
    best = std::min(best, NanosecondsSince(start));
  }
  return best;
}

double
TimeChoice(const std::vector<registry::Fact>& aFacts)
{
  registry::RegistryCache beliefs;
  Learn(beliefs, aFacts);
  token::FlowTracker flows;
  const placing::LoadTable noReports;
  token::ServerSelector watch("zone-0", beliefs, flows, noReports);
  double best = 1e18;
  for (int round = 0; round < kRounds; ++round) {
    const auto start = Clock::now();
    for (std::uint64_t flow = 0; flow < kChoices; ++flow) {
      watch.ChooseServer("desk", 0, base::Mix(flow), tests::At(1));
    }
    best = std::min(best, NanosecondsSince(start) / kChoices);
  }
  return best;
}

std::string
Named(const char* aWhat, std::size_t aServers)
{
  return std::string(aWhat) + ", " + std::to_string(aServers) + " servers";
}

} // namespace

bool
RunFactsBench()
{
  std::array<double, kServers.size()> index{};
  std::array<double, kServers.size()> choice{};
  for (std::size_t i = 0; i < kServers.size(); ++i) {
    const std::size_t servers = kServers.at(i);
    const auto facts = Listing(servers);
    index.at(i) = TimeIndex(facts) / static_cast<double>(facts.size());
    choice.at(i) = TimeChoice(facts);
    Report(
      Named("listing taken in", servers).c_str(), index.at(i), "ns/fact", true);
    Report(Named("all facts decoded", servers).c_str(),
           TimeDecode(facts) / 1e6,
           "ms",
           true);
    Report(
      Named("choice of a server", servers).c_str(), choice.at(i), "ns", true);
  }
  const double indexGrowth = index[2] / index[1];
  const double choiceGrowth = choice[2] / choice[1];
  const bool isLinear = Report("listing, 11,000 against 300 servers",
                               indexGrowth,
                               "ratio",
                               indexGrowth <= kMaxIndexGrowth);
  const bool isFlat = Report("choice, 11,000 against 300 servers",
                             choiceGrowth,
                             "ratio",
                             choiceGrowth <= kMaxChoiceGrowth);
  return isLinear && isFlat;
}

} // namespace wasabiloom::bench
