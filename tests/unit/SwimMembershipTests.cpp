#include "support/FleetNet.h"
#include "support/Section.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace wasabiloom::tests {

using namespace std::chrono_literals;

namespace {

/// Time within which all members know that a host has died: a round of probes
/// in the zone may pass before one reaches the dead host, and then the
/// suspicion time.
constexpr base::Duration kDeathKnownWithin = 8s;

/// Number of hosts among the first `aHosts` that do not count `aExpected` live
/// members.
std::size_t
CountIgnorant(const FleetNet& aNet, std::size_t aHosts, std::size_t aExpected)
{
  std::size_t ignorant = 0;
  for (std::size_t i = 0; i < aHosts; ++i) {
    ignorant += aNet.RosterOf(i).LiveCount() == aExpected ? 0 : 1;
  }
  return ignorant;
}

} // namespace

TEST(SwimMembership, DiscoversAllHostsThroughSeeds)
{
  FleetNet net(90, 4, 1);
  net.RunFor(3s);
  EXPECT_EQ(CountIgnorant(net, 90, 90), 0U);

  Section("the hosts of a zone agree on their ranks", [&] {
    std::vector<std::size_t> counts(90);
    for (std::size_t i = 0; i < 90; i += 4) {
      ++counts[net.RosterOf(i).RankInZone()];
    }
    EXPECT_EQ(std::ranges::count(counts, 1U), 23);
  });
  Section("all hosts learn of a host that starts later", [&] {
    net.Kill(7);
    net.RunFor(10s);
    net.Start(7);
    net.RunFor(3s);
    EXPECT_EQ(CountIgnorant(net, 90, 90), 0U);
  });
}

TEST(SwimMembership, DiscoversHostsOnceASeedHasStarted)
{
  FleetNet net(9, 3, 2);
  for (std::size_t seed = 0; seed < 3; ++seed) {
    net.Kill(seed);
  }
  net.RunFor(2s);
  EXPECT_EQ(net.RosterOf(5).LiveCount(), 1U) << "no seed is running";
  net.Start(0);
  net.RunFor(3s);
  EXPECT_EQ(net.RosterOf(5).LiveCount(), 7U);
}

TEST(SwimMembership, DetectsADeadHostInTime)
{
  FleetNet net(90, 4, 3);
  net.RunFor(5s);
  net.Kill(40);
  net.RunFor(kDeathKnownWithin);
  EXPECT_EQ(net.CountGone(40), 89U);
}

TEST(SwimMembership, DeclaresNoLiveHostGone)
{
  FleetNet net(90, 4, 4);
  net.m_loss = 0.01;
  net.RunFor(60s);
  EXPECT_EQ(net.FalseDepartures(), 0U) << "with 1 % of the datagrams lost";

  Section("no live host is declared gone after a host was paused", [&] {
    for (std::size_t i = 0; i < 5; ++i) {
      net.Freeze(11);
      net.RunFor(5s);
      net.Thaw(11);
      net.RunFor(5s);
      EXPECT_EQ(net.CountGone(11), 0U);
    }
    EXPECT_EQ(net.FalseDepartures(), 0U);
  });
}

TEST(SwimMembership, KeepsAllMembersAfterAllHostsWerePaused)
{
  constexpr std::size_t kHosts = 232;
  FleetNet net(kHosts, 5, 8);
  net.RunFor(5s);
  for (std::size_t i = 0; i < kHosts; ++i) {
    net.Freeze(i);
  }
  net.RunFor(6s);
  for (std::size_t i = 0; i < kHosts; ++i) {
    net.Thaw(i);
  }
  net.RunFor(10s);
  EXPECT_EQ(net.FalseDepartures(), 0U);
  EXPECT_EQ(CountIgnorant(net, kHosts, kHosts), 0U);
}

TEST(SwimMembership, FindsAllHostsAgainAfterAPartition)
{
  FleetNet net(36, 3, 5);
  net.RunFor(5s);
  net.m_cut = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom % 3 == 0) != (aTo % 3 == 0);
  };
  net.RunFor(20s);
  EXPECT_EQ(net.RosterOf(0).LiveCount(), 12U);
  EXPECT_EQ(net.RosterOf(1).LiveCount(), 24U);
  net.m_cut = nullptr;
  net.RunFor(10s);
  EXPECT_EQ(CountIgnorant(net, 36, 36), 0U);
}

TEST(SwimMembership, BoundsTrafficPerHostInFleetsOfAnySize)
{
  constexpr double kBytesASecond = 3000;
  for (const std::size_t hosts : { 9U, 90U, 300U }) {
    FleetNet net(hosts, 3, 6);
    net.RunFor(5s);
    const std::uint64_t before = net.Bytes();
    net.RunFor(20s);
    const double each = static_cast<double>(net.Bytes() - before) / 20 /
                        static_cast<double>(hosts);
    EXPECT_LT(each, kBytesASecond) << hosts << " hosts";
    RecordProperty("bytes_a_second_" + std::to_string(hosts),
                   std::to_string(each));
  }
}

} // namespace wasabiloom::tests
