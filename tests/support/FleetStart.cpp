#include "support/FleetStart.h"

#include "wasabiloom/base/Hash.h"
#include "wasabiloom/registry/FactsCodec.h"

#include <algorithm>
#include <numeric>

namespace wasabiloom::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kHostsACapableOne = 13;
constexpr double kBytesAMegabit = 125'000;
constexpr double kStrongMegabits = 200;
constexpr double kWeakMegabits = 20;
constexpr double kStrongCores = 0.5;
constexpr double kWeakCores = 0.12;
constexpr double kRegistryMegabits = 1000;

/// A route and a server's entry in the registry's listing, in bytes.
constexpr double kListedRoute = 250;
constexpr double kListedServer = 400;

constexpr std::size_t kRoutes = 1805;
constexpr base::Duration kStartWithin = 200ms;
constexpr base::Duration kLongestWait = 5s;

std::size_t
ServersOf(std::size_t aHosts)
{
  return aHosts * 3 / 2;
}

/// Size of all facts as peers tell them.
double
PackedBytes(std::size_t aServers)
{
  registry::Configuration configuration;
  configuration.m_version = 7;
  for (std::size_t i = 0; i < kRoutes; ++i) {
    const auto host = static_cast<std::uint32_t>(0xc6120000 + i);
    configuration.m_routes.push_back(
      { "route-" + std::to_string(i), { { host }, 80 }, { { "desk", 1 } } });
  }
  std::vector<registry::Fact> facts = {
    { registry::FactKind::Configuration, "", 5, configuration }
  };
  for (std::size_t i = 0; i < aServers; ++i) {
    registry::Server server = MakeServer("i-1", "zone", base::Mix(i));
    server.m_number = base::Mix(~i);
    server.m_id = "i-" + std::to_string(server.m_number);
    facts.push_back(ServerFact(server, 100 + i));
  }
  return static_cast<double>(registry::PackFacts(facts).size());
}

} // namespace

bool
IsCapable(std::size_t aHost)
{
  return aHost % kHostsACapableOne == 0;
}

std::unique_ptr<FleetNet>
MakeStartingFleet(std::size_t aHosts, std::uint64_t aSeed)
{
  FleetLinks links;
  for (std::size_t i = 0; i < aHosts; ++i) {
    const double megabits = IsCapable(i) ? kStrongMegabits : kWeakMegabits;
    links.m_hosts.push_back(megabits * kBytesAMegabit);
    links.m_cores.push_back(IsCapable(i) ? kStrongCores : kWeakCores);
  }
  const std::size_t servers = ServersOf(aHosts);
  links.m_registry = kRegistryMegabits * kBytesAMegabit;
  links.m_listing =
    kListedRoute * kRoutes + kListedServer * static_cast<double>(servers);
  links.m_packed = PackedBytes(servers);
  return std::make_unique<FleetNet>(
    aHosts, kStartZones, aSeed, false, std::move(links));
}

StartTimes
StartAtOnce(FleetNet& aNet,
            std::size_t aHosts,
            const std::function<void(std::size_t)>& aOnStep)
{
  std::vector<std::size_t> order(aHosts);
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(
    order, {}, [](std::size_t aHost) { return base::Mix(aHost + 1); });
  const base::Instant begun = aNet.Now();
  std::size_t started = 0;
  while (aNet.Now() - begun < kLongestWait) {
    const auto due = std::min<std::size_t>(
      aHosts, aHosts * ((aNet.Now() - begun) / 10ms) / (kStartWithin / 10ms));
    for (; started < due; ++started) {
      aNet.Start(order[started]);
    }
    aNet.RunFor(kSearchTick);
    for (std::size_t i = 0; aOnStep && i < aHosts; ++i) {
      aOnStep(i);
    }
  }
  StartTimes times;
  std::vector<base::Duration> ready;
  for (std::size_t i = 0; i < aHosts; ++i) {
    if (const auto time = aNet.TimeToReady(i)) {
      ready.push_back(*time);
    } else if (aNet.IsUp(i)) {
      ++times.m_unready;
    }
  }
  std::ranges::sort(ready);
  times.m_median = ready.at(ready.size() / 2);
  times.m_most = ready.at(ready.size() * 9 / 10);
  times.m_slowest = ready.back();
  return times;
}

} // namespace wasabiloom::tests
