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
constexpr base::Duration kInterval = 200ms;

/// How much the hosts' shares of the requests differ, and how much the reports
/// of one host do.
constexpr double kHostSpread = 0.2;
constexpr double kReportSpread = 0.25;

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

/// A factor that differs from 1 by up to `aSpread`.
double
Factor(std::uint64_t aKey, double aSpread)
{
  return 1 + aSpread * (2 * Share(aKey) - 1);
}

/// Hosts that report on "desk" and "stock", of which each zone has kSlots
/// slots.
class LoadedFleet
{
public:
  explicit LoadedFleet(base::Duration aInterval,
                       std::size_t aHosts = kHosts,
                       std::size_t aZones = kZones,
                       std::uint64_t aSeed = 1)
    : m_net(aHosts, aZones, aSeed, true, LinksFor(aInterval))
    , m_zones(aZones)
  {
    for (std::size_t zone = 0; zone < aZones; ++zone) {
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

private:
  static FleetLinks LinksFor(base::Duration aInterval)
  {
    FleetLinks links;
    links.m_loadInterval = aInterval;
    return links;
  }

  static double HostFactor(std::size_t aHost)
  {
    return Factor(aHost, kHostSpread);
  }

  placing::HostLoad LoadOf(std::size_t aHost,
                           base::Instant aFrom,
                           base::Instant aTo)
  {
    const double span = std::chrono::duration<double>(aTo - aFrom).count();
    const double since =
      std::chrono::duration<double>(aTo - m_changedAt).count();
    const double now = span > 0 ? std::min(1.0, since / span) : 1;
    const double mean = now * m_mean + (1 - now) * m_before;
    const double noise = Factor(base::Combine(aHost, ++m_draws), kReportSpread);
    const std::string zone = ZoneName(aHost % m_zones);
    return {
      { { { "desk", zone }, mean * HostFactor(aHost) * noise },
        { { "stock", zone }, 1 } },
      { { static_cast<std::uint32_t>(base::Mix(aHost)), 33ms, 7, false },
        { static_cast<std::uint32_t>(base::Mix(aHost + 1)), 40ms, 9, false } }
    };
  }

  std::size_t m_zones;
  double m_before = 0;
  double m_mean = 0;
  base::Instant m_changedAt = At(0);
  std::uint64_t m_draws = 0;
};

} // namespace

TEST(LoadReportFleet, EstimatesFollowAChangeOfLoadWithinTwoSeconds)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    LoadedFleet fleet(kInterval, kHosts, kZones, seed);
    fleet.SetMean(4);
    fleet.m_net.RunFor(8s);
    for (const double loss : { 0.0, 0.1 }) {
      fleet.m_net.m_loss = loss;
      for (const double mean : { 6.0, 4.0, 5.0 }) {
        fleet.SetMean(mean);
        fleet.m_net.RunFor(2s);
        Section("seed " + std::to_string(seed) + ", loss " +
                  std::to_string(loss) + ", mean " + std::to_string(mean),
                [&] {
                  for (std::size_t zone = 0; zone < kZones; ++zone) {
                    EXPECT_EQ(fleet.CountWrong(zone, zone), 0U)
                      << "worst " << fleet.m_worst;
                  }
                });
      }
    }
    Section("all hosts know the load of the other zones, too", [&] {
      fleet.m_net.RunFor(2s);
      EXPECT_EQ(fleet.CountKnowing(1, 0), kHosts / kZones);
    });
  }
}

TEST(LoadReportFleet, EstimatesOfAZoneBehindAPartitionExpire)
{
  LoadedFleet fleet(kInterval);
  fleet.SetMean(4);
  fleet.m_net.RunFor(8s);
  EXPECT_GT(fleet.CountKnowing(0, 1), 0U);
  fleet.m_net.m_loss = 0.1;
  fleet.m_net.m_cut = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom % kZones == 0) != (aTo % kZones == 0);
  };
  // The age of an estimate is rounded up to the interval of its computation.
  fleet.m_net.RunFor(placing::kReportLife + 150ms);
  EXPECT_EQ(fleet.CountKnowing(0, 1), 0U);
  EXPECT_EQ(fleet.CountKnowing(1, 0), 0U);
  Section("both sides still know their own load", [&] {
    EXPECT_EQ(fleet.CountWrong(0, 0) + fleet.CountWrong(1, 1), 0U)
      << "worst " << fleet.m_worst;
  });
  Section("the estimates return when the partition heals", [&] {
    fleet.m_net.m_cut = nullptr;
    fleet.m_net.RunFor(5s);
    EXPECT_GT(fleet.CountKnowing(0, 1), 0U);
  });
}

TEST(LoadReportFleet, AHostThatStoodStillHasNoEstimateFromOldReports)
{
  LoadedFleet fleet(kInterval);
  fleet.SetMean(4);
  fleet.m_net.RunFor(8s);
  fleet.m_net.Freeze(3);
  fleet.m_net.RunFor(5s);
  fleet.m_net.Thaw(3);
  fleet.m_net.RunFor(kFleetTick);
  EXPECT_FALSE(fleet.Estimate(3, 0));
  fleet.m_net.RunFor(2s);
  EXPECT_TRUE(fleet.Estimate(3, 0));
}

TEST(LoadReportFleet, StaysWithinItsBytesAtAnyIntervalAndSize)
{
  struct Case
  {
    std::size_t m_hosts;
    std::size_t m_zones;
    base::Duration m_interval;
  };
  for (const auto& [hosts, zones, interval] : { Case{ 9, 3, 50ms },
                                                Case{ 91, 3, 200ms },
                                                Case{ 91, 14, 1000ms },
                                                Case{ 280, 14, 50ms } }) {
    LoadedFleet fleet(interval, hosts, zones);
    fleet.SetMean(4);
    fleet.m_net.RunFor(2s);
    std::vector<std::uint64_t> before;
    for (std::size_t host = 0; host < hosts; ++host) {
      before.push_back(fleet.m_net.LoadTotalsOf(host).m_sentBytes);
    }
    fleet.m_net.RunFor(10s);
    for (std::size_t host = 0; host < hosts; ++host) {
      const std::uint64_t bytes =
        fleet.m_net.LoadTotalsOf(host).m_sentBytes - before[host];
      EXPECT_LT(bytes, 7000U) << hosts;
      EXPECT_GT(bytes, 0U) << hosts;
    }
  }
  Section("without an interval nothing is sent or learned", [&] {
    LoadedFleet fleet(0ms);
    fleet.SetMean(4);
    fleet.m_net.RunFor(5s);
    EXPECT_EQ(fleet.m_net.LoadTotalsOf(0), fleet::LoadTotals{});
    EXPECT_EQ(fleet.CountKnowing(0, 0), 0U);
  });
}

} // namespace wasabiloom::tests
