#include "support/FleetNet.h"
#include "support/Section.h"
#include "wasabiloom/base/Hash.h"

#include <gtest/gtest.h>

#include <cmath>

namespace wasabiloom::tests {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 91;
constexpr std::size_t kZones = 3;
constexpr std::uint64_t kSlots = 80;

/// Error of an estimate that the decisions on load can bear.
constexpr double kTolerance = 0.15;

std::string
ZoneName(std::size_t aZone)
{
  return "zone-" + std::to_string(aZone);
}

/// A number from 0 to 1.
double
Share(std::uint64_t aKey)
{
  return static_cast<double>(base::Mix(aKey) >> 11U) * 0x1p-53;
}

/// Hosts that report on "desk", of which each zone has kSlots slots. A host's
/// requests differ from those of the others and from report to report, by half
/// of the mean each.
class LoadedFleet
{
public:
  explicit LoadedFleet(base::Duration aInterval)
    : m_net(kHosts, kZones, 1, true, LinksFor(aInterval))
  {
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      m_net.m_slots[{ "desk", ZoneName(zone) }] = kSlots;
      m_net.m_slots[{ "stock", ZoneName(zone) }] = kSlots;
    }
    m_net.m_loadOf =
      [this](std::size_t aHost, base::Instant aFrom, base::Instant aTo) {
        return LoadOf(aHost, aFrom, aTo);
      };
  }

  /// From now on a host has `aMean` requests in progress on average.
  void SetMean(double aMean)
  {
    m_before = m_mean;
    m_mean = aMean;
    m_changedAt = m_net.Now();
  }

  /// Requests per slot of "desk" in `aZone`.
  double TrueLoad(std::size_t aZone) const
  {
    double sum = 0;
    for (std::size_t host = aZone; host < kHosts; host += kZones) {
      sum += m_mean * HostFactor(host);
    }
    return sum / static_cast<double>(kSlots);
  }

  std::optional<placing::ZoneLoad> Estimate(std::size_t aHost,
                                            std::size_t aZone) const
  {
    return m_net.LoadTableOf(aHost).LoadOfZone(
      "desk", ZoneName(aZone), m_net.Now());
  }

  /// Number of hosts of the zone `aOf` whose estimate of the zone `aAbout` is
  /// missing, or wrong by more than `aTolerance`.
  std::size_t CountWrong(std::size_t aOf,
                         std::size_t aAbout,
                         double aTolerance = kTolerance)
  {
    std::size_t wrong = 0;
    const double truth = TrueLoad(aAbout);
    for (std::size_t host = aOf; host < kHosts; host += kZones) {
      const auto load = Estimate(host, aAbout);
      const double error =
        load ? std::abs(load->m_requestsPerSlot / truth - 1) : 1;
      m_worst = std::max(m_worst, error);
      wrong += error > aTolerance ? 1 : 0;
    }
    return wrong;
  }

  /// Number of hosts of the zone `aOf` that have an estimate of `aAbout`.
  std::size_t CountKnowing(std::size_t aOf, std::size_t aAbout) const
  {
    std::size_t count = 0;
    for (std::size_t host = aOf; host < kHosts; host += kZones) {
      count += Estimate(host, aAbout) ? 1 : 0;
    }
    return count;
  }

  FleetNet m_net;
  double m_worst = 0;
  double m_noise = 0.25;

private:
  static FleetLinks LinksFor(base::Duration aInterval)
  {
    FleetLinks links;
    links.m_loadInterval = aInterval;
    return links;
  }

  static double HostFactor(std::size_t aHost) { return 0.5 + Share(aHost); }

  placing::HostLoad LoadOf(std::size_t aHost,
                           base::Instant aFrom,
                           base::Instant aTo)
  {
    const double span = std::chrono::duration<double>(aTo - aFrom).count();
    const double since =
      std::chrono::duration<double>(aTo - m_changedAt).count();
    const double now = span > 0 ? std::min(1.0, since / span) : 1;
    const double mean = now * m_mean + (1 - now) * m_before;
    const double noise =
      1 + m_noise * (2 * Share(base::Combine(aHost, ++m_draws)) - 1);
    const std::string zone = ZoneName(aHost % kZones);
    return {
      { { { "desk", zone }, mean * HostFactor(aHost) * noise },
        { { "stock", zone }, 1 } },
      { { static_cast<std::uint32_t>(base::Mix(aHost)), 33ms, 7, false },
        { static_cast<std::uint32_t>(base::Mix(aHost + 1)), 40ms, 9, false } }
    };
  }

  double m_before = 0;
  double m_mean = 0;
  base::Instant m_changedAt = At(0);
  std::uint64_t m_draws = 0;
};

} // namespace

class LoadReportFleet : public testing::TestWithParam<int>
{};

TEST_P(LoadReportFleet, Trial)
{
  const base::Duration interval = std::chrono::milliseconds(GetParam());
  LoadedFleet fleet(interval);
  fleet.SetMean(2);
  fleet.m_noise = GetParam() % 2 ? 0.5 : 0.25;
  fleet.m_net.RunFor(8s);
  fleet.m_net.m_loss = 0.1;
  for (double mean : { 6.0, 4.0, 3.0, 4.5, 3.0 }) {
    fleet.SetMean(mean);
    fleet.m_net.RunFor(2s);
    for (int i = 0; i < 3; ++i) {
      fleet.m_worst = 0;
      std::size_t wrong = fleet.CountWrong(0, 0) + fleet.CountWrong(1, 1) +
                          fleet.CountWrong(2, 2);
      double worst = fleet.m_worst;
      std::size_t far = fleet.CountWrong(0, 1) + fleet.CountWrong(1, 2) +
                        fleet.CountWrong(2, 0);
      std::size_t knowing = fleet.CountKnowing(0, 1) +
                            fleet.CountKnowing(1, 2) + fleet.CountKnowing(2, 0);
      std::printf(
        "%d ms mean %.0f +%ds: wrong %zu worst %.3f; far wrong %zu knowing "
        "%zu; reporters %zu; sent %lu bytes %.0f/s\n",
        GetParam(),
        mean,
        2 + i,
        wrong,
        worst,
        far,
        knowing,
        fleet.m_net.LoadTableOf(5).ReporterCount(),
        fleet.m_net.LoadTotalsOf(5).m_sent,
        fleet.m_net.LoadTotalsOf(5).m_sentBytes /
          std::chrono::duration<double>(fleet.m_net.Now() - At(0)).count());
      fleet.m_net.RunFor(1s);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Trials,
                         LoadReportFleet,
                         testing::Values(100, 150, 200, 250));

} // namespace wasabiloom::tests
