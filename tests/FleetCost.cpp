/// Prints what a host's talk with its fleet costs, by the size of the fleet.
/// Usage: fleet_cost HOSTS...

#include "support/FleetNet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace std::chrono_literals;
using wasabiloom::base::Duration;
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

void
Measure(std::size_t aHosts)
{
  FleetNet net(aHosts, aHosts > kSmallFleet ? kZones : kSmallZones, 1);
  net.m_loss = kLoss;
  net.RunFor(20s);

  const std::uint64_t bytes = net.Bytes();
  const std::uint64_t calls = net.Calls();
  for (int second = 0; second < 20; ++second) {
    net.Publish();
    net.RunFor(1s);
  }
  const double each =
    static_cast<double>(net.Bytes() - bytes) / static_cast<double>(20 * aHosts);
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
  std::printf("| %zu | %.0f | %.1f | %.1f | %llu | %llu |\n",
              aHosts,
              each,
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
    "| hosts | bytes/s a host | calls/s, all | s until all know a "
    "death | living held for gone in 40 s | the same while paused 5 s "
    "|\n|---|---|---|---|---|---|\n");
  for (int i = 1; i < argc; ++i) {
    Measure(std::strtoul(argv[i], nullptr, 10));
  }
  return 0;
}
