/// Prints what a host's talk with its fleet costs, by the size of the fleet.
/// Usage: fleet_cost [--load-reports MS] HOSTS...

#include "support/FleetNet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

namespace {

using namespace std::chrono_literals;
using wasabiloom::base::Duration;
using wasabiloom::base::Instant;
using wasabiloom::placing::HostLoad;
using wasabiloom::tests::FleetLinks;
using wasabiloom::tests::FleetNet;

constexpr std::size_t kZones = 14;
constexpr std::size_t kSmallZones = 3;
constexpr std::size_t kSmallFleet = 90;
constexpr std::size_t kHostsAPause = 20;
constexpr double kLoss = 0.01;

double
Seconds(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

/// Time until every host holds `aHost` for gone.
Duration
TimeToLearn(FleetNet& aNet, std::size_t aHosts, std::size_t aHost)
{
  const auto begin = aNet.Now();
  while (aNet.CountGone(aHost) < aHosts - 1 && aNet.Now() - begin < 30s) {
    aNet.RunFor(100ms);
  }
  return aNet.Now() - begin;
}

std::string
ZoneName(std::size_t aZone)
{
  return "zone-" + std::to_string(aZone);
}

/// Lets all hosts report on two services in their zone and four servers.
void
SetLoads(FleetNet& aNet, std::size_t aZones)
{
  for (std::size_t zone = 0; zone < aZones; ++zone) {
    aNet.m_slots[{ "desk", ZoneName(zone) }] = 1000;
    aNet.m_slots[{ "stock", ZoneName(zone) }] = 1000;
  }
  aNet.m_loadOf = [aZones](std::size_t aHost, Instant, Instant) {
    const std::string zone = ZoneName(aHost % aZones);
    HostLoad load{ { { { "desk", zone }, 4.5 }, { { "stock", zone }, 1.5 } },
                   {} };
    for (std::uint32_t server = 0; server < 4; ++server) {
      load.m_servers.push_back(
        { static_cast<std::uint32_t>(aHost) * 4 + server, 45ms, 9, false });
    }
    return load;
  };
}

/// Bytes per second over 20 s.
struct BytesPerSecond
{
  double m_mean = 0;
  double m_busiest = 0;
  /// Of the load reports of the host that sent most of them, headers included.
  double m_loadReports = 0;
};

/// Runs 20 s with a change of the registry each second.
BytesPerSecond
MeasureBytes(FleetNet& aNet, std::size_t aHosts)
{
  const std::uint64_t bytes = aNet.Bytes();
  std::vector<double> sent;
  std::vector<std::uint64_t> reported;
  for (std::size_t host = 0; host < aHosts; ++host) {
    sent.push_back(aNet.BytesOf(host).m_sent);
    reported.push_back(aNet.LoadTotalsOf(host).m_sentBytes);
  }
  for (int second = 0; second < 20; ++second) {
    aNet.Publish();
    aNet.RunFor(1s);
  }
  BytesPerSecond result;
  result.m_mean = static_cast<double>(aNet.Bytes() - bytes) /
                  static_cast<double>(20 * aHosts);
  for (std::size_t host = 0; host < aHosts; ++host) {
    result.m_busiest =
      std::max(result.m_busiest, (aNet.BytesOf(host).m_sent - sent[host]) / 20);
    result.m_loadReports =
      std::max(result.m_loadReports,
               static_cast<double>(aNet.LoadTotalsOf(host).m_sentBytes -
                                   reported[host]) /
                 20);
  }
  return result;
}

void
Measure(std::size_t aHosts, Duration aLoadInterval)
{
  const std::size_t zones = aHosts > kSmallFleet ? kZones : kSmallZones;
  FleetLinks links;
  links.m_loadInterval = aLoadInterval;
  FleetNet net(aHosts, zones, 1, true, links);
  SetLoads(net, zones);
  net.m_loss = kLoss;
  net.RunFor(20s);

  const std::uint64_t calls = net.Calls();
  const BytesPerSecond each = MeasureBytes(net, aHosts);
  const double perSecond = static_cast<double>(net.Calls() - calls) / 20;

  const std::uint64_t departures = net.FalseDepartures();
  const std::size_t paused = std::max<std::size_t>(1, aHosts / kHostsAPause);
  for (std::size_t host = 0; host < paused; ++host) {
    net.Freeze(host);
  }
  net.RunFor(5s);
  for (std::size_t host = 0; host < paused; ++host) {
    net.Thaw(host);
  }
  net.RunFor(10s);
  const std::uint64_t wrong = net.FalseDepartures() - departures;

  net.Kill(aHosts - 1);
  const Duration learned = TimeToLearn(net, aHosts, aHosts - 1);
  std::printf("| %zu | %.0f | %.0f | %.0f | %.1f | %.1f | %llu | %llu |\n",
              aHosts,
              each.m_mean,
              each.m_busiest,
              each.m_loadReports,
              perSecond,
              Seconds(learned),
              static_cast<unsigned long long>(departures),
              static_cast<unsigned long long>(wrong));
  std::fflush(stdout);
}

} // namespace

int
main(int argc, char** argv)
{
  std::printf(
    "| hosts | bytes/s a host | bytes/s of the busiest | bytes/s of its load "
    "reports, with headers | calls/s, all | s until all know a "
    "death | living held for gone in 40 s | the same while paused 5 s "
    "|\n|---|---|---|---|---|---|---|---|\n");
  Duration loadInterval{ 0 };
  for (int i = 1; i < argc; ++i) {
    if (std::string_view(argv[i]) == "--load-reports" && i + 1 < argc) {
      loadInterval =
        std::chrono::milliseconds(std::strtoul(argv[++i], nullptr, 10));
    } else {
      Measure(std::strtoul(argv[i], nullptr, 10), loadInterval);
    }
  }
  return 0;
}
