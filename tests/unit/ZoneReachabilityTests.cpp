#include "support/FleetNet.h"
#include "support/Section.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace wasabiloom::tests {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kZones = 3;

/// Longest silence of other zones that a connected host may observe.
constexpr base::Duration kConnected = 500ms;

/// Cuts the zone of host 0 off from all others.
void
CutFirstZone(FleetNet& aNet)
{
  aNet.m_cut = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom % kZones == 0) != (aTo % kZones == 0);
  };
}

void
WatchAll(FleetNet& aNet, std::size_t aHosts)
{
  for (std::size_t host = 0; host < aHosts; ++host) {
    aNet.ReachabilityOf(host).SetWatching(true);
  }
}

/// Number of hosts that count as cut off, in the first zone and in the others.
std::pair<std::size_t, std::size_t>
CountCutOff(FleetNet& aNet, std::size_t aHosts)
{
  std::pair<std::size_t, std::size_t> counts;
  for (std::size_t host = 0; host < aHosts; ++host) {
    const bool isCutOff = aNet.ReachabilityOf(host).SilentFor() >= kConnected;
    (host % kZones == 0 ? counts.first : counts.second) += isCutOff ? 1 : 0;
  }
  return counts;
}

} // namespace

TEST(ZoneReachability, FindsAPartitionOnAllHostsOfAZoneAtOnce)
{
  constexpr std::size_t kHosts = 90;
  FleetNet net(kHosts, kZones, 1);
  net.m_loss = 0.01;
  net.RunFor(5s);
  WatchAll(net, kHosts);
  net.RunFor(1s);

  Section("connected hosts hear from other zones all the time, although some "
          "datagrams are lost",
          [&] {
            for (int i = 0; i < 200; ++i) {
              net.RunFor(100ms);
              EXPECT_EQ(CountCutOff(net, kHosts), std::pair(0UL, 0UL));
            }
          });
  Section("the hosts of a zone that is cut off know it within 0.8 s", [&] {
    CutFirstZone(net);
    net.RunFor(800ms);
    EXPECT_EQ(CountCutOff(net, kHosts), std::pair(30UL, 0UL));
  });
  Section("they still know it after the membership has given up all others",
          [&] {
            net.RunFor(10s);
            EXPECT_EQ(CountCutOff(net, kHosts), std::pair(30UL, 0UL));
          });
  Section("a host that starts behind the partition knows it at once", [&] {
    net.Kill(3);
    net.Start(3);
    net.ReachabilityOf(3).SetWatching(true);
    EXPECT_GE(net.ReachabilityOf(3).SilentFor(), kConnected);
    net.RunFor(2s);
    EXPECT_GE(net.ReachabilityOf(3).SilentFor(), kConnected);
  });
  Section("all know within 3 s that the partition has ended", [&] {
    net.m_cut = nullptr;
    net.RunFor(3s);
    EXPECT_EQ(CountCutOff(net, kHosts), std::pair(0UL, 0UL));
  });
}

TEST(ZoneReachability, CountsNoTimeForWhichTheProcessDidNotRun)
{
  FleetNet net(9, kZones, 2);
  net.RunFor(5s);
  WatchAll(net, 9);
  net.RunFor(1s);
  net.Freeze(0);
  net.RunFor(4s);
  net.Thaw(0);
  for (int i = 0; i < 20; ++i) {
    net.RunFor(50ms);
    EXPECT_LT(net.ReachabilityOf(0).SilentFor(), kConnected);
  }
}

TEST(ZoneReachability, StaysWithinTheBudgetOfControlTraffic)
{
  constexpr double kBytesASecond = 3000;
  constexpr std::size_t kHosts = 300;
  FleetNet net(kHosts, kZones, 3);
  net.RunFor(5s);
  for (std::size_t host = 0; host < kHosts; host += kZones) {
    net.ReachabilityOf(host).SetWatching(true);
  }
  std::vector<double> before;
  for (std::size_t host = 0; host < kHosts; ++host) {
    before.push_back(net.BytesOf(host).m_sent);
  }
  net.RunFor(20s);
  double most = 0;
  for (std::size_t host = 0; host < kHosts; ++host) {
    most = std::max(most, (net.BytesOf(host).m_sent - before[host]) / 20);
  }
  EXPECT_LT(most, kBytesASecond);
}

} // namespace wasabiloom::tests
