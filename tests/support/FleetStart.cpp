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
constexpr std::size_t kSeeds = 3;
constexpr base::Duration kStartWithin = 200ms;
constexpr base::Duration kSeedsLate = 300ms;
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
    server.m_numericId = base::Mix(~i);
    server.m_id = "i-" + std::to_string(server.m_numericId);
    facts.push_back(ServerFact(server, 100 + i));
  }
  return static_cast<double>(registry::PackFacts(facts).size());
}

/// Sets up the trouble that lasts.
void
Prepare(FleetNet& aNet, StartTrouble aTrouble)
{
  if (aTrouble == StartTrouble::Loss) {
    aNet.m_loss = 0.01;
  } else if (aTrouble == StartTrouble::ZoneCut) {
    aNet.m_cut = [](std::size_t aFrom, std::size_t aTo) {
      const std::size_t last = kStartZones - 1;
      return (aFrom % kStartZones == last) != (aTo % kStartZones == last);
    };
  } else if (aTrouble == StartTrouble::FewAnswered) {
    aNet.m_silent = [](std::size_t aHost) { return aHost % 10 != 5; };
  }
}

/// Does to a host that has just run what the trouble does.
void
Strike(FleetNet& aNet, StartTrouble aTrouble, std::size_t aHost)
{
  if (!aNet.IsUp(aHost)) {
    return;
  }
  const bool isSeed = aHost < kSeeds;
  const bool isTeller =
    IsCapable(aHost) && !isSeed && aNet.TimeToReady(aHost).has_value();
  if (isTeller && aTrouble == StartTrouble::TellersDie) {
    aNet.Kill(aHost);
  } else if ((isTeller && aTrouble == StartTrouble::TellersFreeze) ||
             (isSeed && aTrouble == StartTrouble::SeedsFreeze)) {
    aNet.Freeze(aHost);
  }
}

StartTimes
TimesOf(const FleetNet& aNet, std::size_t aHosts)
{
  StartTimes times;
  for (std::size_t i = 0; i < aHosts; ++i) {
    if (const auto time = aNet.TimeToReady(i)) {
      times.m_each.push_back(*time);
    } else if (aNet.IsUp(i)) {
      ++times.m_unready;
    }
  }
  std::ranges::sort(times.m_each);
  const std::size_t count = times.m_each.size();
  if (count == 0) {
    return times;
  }
  times.m_median = times.m_each.at(count / 2);
  times.m_most = times.m_each.at(count * 9 / 10);
  times.m_slowest = times.m_each.back();
  return times;
}

} // namespace

bool
IsCapable(std::size_t aHost)
{
  return aHost % kHostsACapableOne == 0;
}

FleetLinks
LinksOf(std::size_t aHosts)
{
  FleetLinks links;
  for (std::size_t i = 0; i < aHosts; ++i) {
    const double megabits = IsCapable(i) ? kStrongMegabits : kWeakMegabits;
    links.m_hosts.push_back(megabits * kBytesAMegabit);
    links.m_cores.push_back(IsCapable(i) ? kStrongCores : kWeakCores);
  }
  return links;
}

std::unique_ptr<FleetNet>
MakeStartingFleet(std::size_t aHosts, std::uint64_t aSeed)
{
  FleetLinks links = LinksOf(aHosts);
  const std::size_t servers = ServersOf(aHosts);
  links.m_registry = kRegistryMegabits * kBytesAMegabit;
  links.m_listing =
    kListedRoute * kRoutes + kListedServer * static_cast<double>(servers);
  links.m_packed = PackedBytes(servers);
  return std::make_unique<FleetNet>(
    aHosts, kStartZones, aSeed, false, std::move(links));
}

const char*
ToString(StartTrouble aTrouble)
{
  switch (aTrouble) {
    case StartTrouble::None:
      return "none";
    case StartTrouble::Loss:
      return "1% lost";
    case StartTrouble::TellersDie:
      return "providers die";
    case StartTrouble::TellersFreeze:
      return "providers freeze";
    case StartTrouble::ZoneCut:
      return "a zone cut";
    case StartTrouble::FewAnswered:
      return "registry answers 1 in 10";
    case StartTrouble::SeedsFreeze:
      return "seeds freeze";
    case StartTrouble::SeedsLate:
      return "seeds 0.3 s late";
  }
  return "unlisted";
}

StartTimes
StartAtOnce(FleetNet& aNet, std::size_t aHosts, StartTrouble aTrouble)
{
  Prepare(aNet, aTrouble);
  std::vector<std::size_t> order(aHosts);
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(
    order, {}, [](std::size_t aHost) { return base::Mix(aHost + 1); });
  if (aTrouble == StartTrouble::SeedsLate) {
    std::erase_if(order, [](std::size_t aHost) { return aHost < kSeeds; });
  }
  const base::Instant begun = aNet.Now();
  std::size_t started = 0;
  while (aNet.Now() - begun < kLongestWait) {
    const base::Duration passed = aNet.Now() - begun;
    const auto due = std::min<std::size_t>(
      order.size(), aHosts * (passed / 10ms) / (kStartWithin / 10ms));
    for (; started < due; ++started) {
      aNet.Start(order[started]);
    }
    if (passed >= kSeedsLate && order.size() < aHosts) {
      for (std::size_t seed = 0; seed < kSeeds; ++seed) {
        order.push_back(seed);
      }
    }
    aNet.RunFor(kSearchTick);
    for (std::size_t i = 0; i < aHosts; ++i) {
      Strike(aNet, aTrouble, i);
    }
  }
  return TimesOf(aNet, aHosts);
}

} // namespace wasabiloom::tests
