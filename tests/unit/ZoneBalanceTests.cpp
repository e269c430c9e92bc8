#include "support/CallerPacket.h"
#include "support/Section.h"
#include "support/ServiceLoad.h"
#include "wasabiloom/base/Hash.h"
#include "wasabiloom/placing/ZoneBalance.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace wasabiloom::tests {

using namespace std::chrono_literals;
using placing::ZoneBalance;
using placing::ZoneState;

namespace {

constexpr double kSlots = 40;

ZoneState
Zone(std::string_view aName, double aLoad, base::Duration aAge = 300ms)
{
  return { aName, kSlots, true, placing::ZoneLoad{ aLoad, aAge } };
}

/// Takes `aSteps` steps of the zone "a" with constant loads.
void
Step(ZoneBalance& aBalance,
     int aSteps,
     const ZoneState& aOwn,
     std::initializer_list<ZoneState> aOthers)
{
  const std::vector<ZoneState> others(aOthers);
  for (int i = 0; i < aSteps; ++i) {
    aBalance.Step(aOwn, others);
  }
}

/// Part of 10,000 flows that go to `aZone`.
double
PartTo(const ZoneBalance& aBalance, std::string_view aZone)
{
  int count = 0;
  for (std::uint64_t flow = 0; flow < 10'000; ++flow) {
    count += aBalance.ZoneFor(base::Mix(flow)) == aZone ? 1 : 0;
  }
  return count / 10'000.0;
}

/// Requests per slot of a zone that gets `aDemand` times its capacity: linear
/// where the page states figures, at most all slots and queues full.
double
LoadAt(double aDemand)
{
  return std::clamp(2.6 + 4.5 * (aDemand - 1), 0.7 * aDemand, 5.0);
}

/// Two zones that share their load by ZoneBalance, with estimates of one second
/// ago. Advances `aSteps` steps and returns the demand of the first zone's
/// servers after each.
class TwoZones
{
public:
  std::vector<double> Run(int aSteps, double aFirst, double aSecond)
  {
    std::vector<double> demands;
    for (int i = 0; i < aSteps; ++i) {
      const double out = aFirst * m_first.TotalShare();
      const double back = aSecond * m_second.TotalShare();
      demands.push_back(aFirst - out + back);
      m_past.push_back(
        { LoadAt(demands.back()), LoadAt(aSecond - back + out) });
      const auto [own, other] =
        m_past.at(m_past.size() > 5 ? m_past.size() - 6 : 0);
      m_first.Step(Zone("a", own, 1s), { { Zone("b", other, 1s) } });
      m_second.Step(Zone("b", other, 1s), { { Zone("a", own, 1s) } });
    }
    return demands;
  }

private:
  ZoneBalance m_first;
  ZoneBalance m_second;
  std::vector<std::pair<double, double>> m_past;
};

/// Three zones with uneven demand, on average `aDemand` of the capacity.
LoadShape
UnevenShape(double aDemand, bool aIsOn)
{
  constexpr double kZoneCapacity = 12 * 2 / 0.04;
  LoadShape shape;
  shape.m_work = 40ms;
  shape.m_aim = 300ms;
  shape.m_timeout = 2s;
  shape.m_demand = { { "a", 1.3 * aDemand * kZoneCapacity },
                     { "b", 1.0 * aDemand * kZoneCapacity },
                     { "c", 0.7 * aDemand * kZoneCapacity } };
  shape.m_hosts = 8;
  shape.m_queue = 8;
  shape.m_urgentPart = 0.22;
  shape.m_keptPart = 0.22;
  shape.m_features.m_zoneBalance = aIsOn;
  return shape;
}

const std::map<std::string, int> kThreeZones = { { "a", 12 },
                                                 { "b", 12 },
                                                 { "c", 12 } };

/// Part of the requests that met their objective, by zone.
std::map<std::string, double>
MetByZone(ServiceLoad& aLoad)
{
  std::map<std::string, LoadCounts> zones;
  for (const auto& [group, counts] : aLoad.TakeGroups()) {
    zones[group.m_zone] += counts;
  }
  std::map<std::string, double> met;
  for (const auto& [zone, counts] : zones) {
    met[zone] = counts.MetPart();
  }
  return met;
}

double
Gap(const std::map<std::string, double>& aMet)
{
  const auto [worst, best] = std::minmax_element(
    aMet.begin(), aMet.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  return best->second - worst->second;
}

} // namespace

TEST(ZoneBalance, SpillsOverOnlyWhatLevelsTheZones)
{
  Section("nothing while the own zone has free slots", [] {
    ZoneBalance balance;
    Step(balance, 50, Zone("a", 0.9), { Zone("b", 0) });
    EXPECT_EQ(balance.TotalShare(), 0);
    EXPECT_EQ(balance.ZoneFor(7), "");
  });
  Section("nothing to zones that are as full", [] {
    ZoneBalance balance;
    Step(balance, 50, Zone("a", 3), { Zone("b", 3.1), Zone("c", 2.9) });
    EXPECT_EQ(balance.TotalShare(), 0);
  });
  Section("in small steps, more to the emptier zone, by the flow's hash", [] {
    ZoneBalance balance;
    Step(balance, 1, Zone("a", 5), { Zone("b", 1), Zone("c", 4) });
    EXPECT_LE(balance.ShareOf("b"), placing::kMaxShareStep);
    Step(balance, 20, Zone("a", 5), { Zone("b", 1), Zone("c", 4) });
    EXPECT_GT(balance.ShareOf("b"), 2 * balance.ShareOf("c"));
    EXPECT_GT(balance.ShareOf("c"), 0);
    EXPECT_NEAR(PartTo(balance, "b"), balance.ShareOf("b"), 0.02);
    EXPECT_NEAR(PartTo(balance, "c"), balance.ShareOf("c"), 0.02);
    EXPECT_EQ(balance.ZoneFor(7), balance.ZoneFor(7));
    Section("and back in small steps", [&] {
      const double before = balance.TotalShare();
      Step(balance, 1, Zone("a", 0.2), { Zone("b", 1), Zone("c", 1) });
      EXPECT_LT(balance.TotalShare(), before);
      EXPECT_GT(balance.TotalShare(), before - 0.15);
      Step(balance, 40, Zone("a", 0.2), { Zone("b", 1), Zone("c", 1) });
      EXPECT_EQ(balance.TotalShare(), 0);
    });
  });
  Section("never all, so that the own zone's load remains known", [] {
    ZoneBalance balance;
    for (int i = 0; i < 500; ++i) {
      Step(balance, 1, Zone("a", 5), { Zone("b", 0), Zone("c", 0) });
    }
    EXPECT_LE(balance.TotalShare(), placing::kMaxSpill + 1e-9);
  });
}

TEST(ZoneBalance, GivesNothingToZonesThatItKnowsNothingGoodOf)
{
  ZoneBalance balance;
  Step(balance, 200, Zone("a", 5), { Zone("b", 0) });
  ASSERT_GT(balance.TotalShare(), 0.5);

  Section("one that is suspect or out of service loses its share at once", [&] {
    ZoneBalance other = balance;
    ZoneState out = Zone("b", 0);
    out.m_isUsable = false;
    Step(other, 1, Zone("a", 5), { out });
    EXPECT_EQ(other.TotalShare(), 0);
  });
  Section("one without servers too", [&] {
    ZoneBalance other = balance;
    Step(other, 1, Zone("a", 5), {});
    EXPECT_EQ(other.ZoneFor(7), "");
    EXPECT_EQ(other.TotalShare(), 0);
  });
  Section("when reports stop, the share is 0 after 2 s", [&] {
    ZoneBalance other = balance;
    for (base::Duration age = 0s; age <= 2s;
         age += placing::kLoadStepInterval) {
      Step(other, 1, Zone("a", 5, age), { Zone("b", 0, age) });
    }
    EXPECT_EQ(other.TotalShare(), 0);
  });
  Section("an own zone without an estimate sends nothing", [&] {
    ZoneBalance other = balance;
    ZoneState own = Zone("a", 5);
    own.m_load = std::nullopt;
    Step(other, 4, own, { Zone("b", 0) });
    EXPECT_EQ(other.TotalShare(), 0);
  });
}

/// Guards against hosts that all learn the same late numbers and swing together
/// between two zones.
TEST(ZoneBalance, ConvergesWithoutSwingingOnLateEstimates)
{
  TwoZones zones;
  Section("a step of the demand is level after a few seconds", [&] {
    const auto demands = zones.Run(100, 1.3, 0.5);
    EXPECT_NEAR(demands.at(40), 0.9, 0.06);
    const auto [low, high] =
      std::minmax_element(demands.begin() + 40, demands.end());
    EXPECT_LT(*high - *low, 0.04);
    EXPECT_GT(*std::ranges::min_element(demands), 0.8) << "overshoot";
  });
  Section("it is followed when callers move to the other zone", [&] {
    const auto demands = zones.Run(100, 0.5, 1.3);
    EXPECT_GT(demands.at(20), 0.75);
    const auto [low, high] =
      std::minmax_element(demands.begin() + 50, demands.end());
    EXPECT_LT(*high - *low, 0.06);
    EXPECT_LT(*std::ranges::max_element(demands), 1.05) << "overshoot";
  });
}

TEST(ZoneBalance, LevelsZonesWithUnevenDemand)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    std::map<bool, std::map<std::string, double>> met;
    for (const bool isOn : { false, true }) {
      ServiceLoad load(UnevenShape(0.9, isOn), kThreeZones, seed);
      load.RunFor(8s);
      load.TakeGroups();
      load.RunFor(15s);
      met[isOn] = MetByZone(load);
    }
    EXPECT_LE(Gap(met[true]), 0.02) << "seed " << seed;
    EXPECT_GT(Gap(met[false]), 0.05) << "the load that the part is for";
  }
}

/// Guards against shares that follow callers too late when they move.
TEST(ZoneBalance, FollowsCallersThatMoveToAnotherZone)
{
  ServiceLoad load(UnevenShape(0.9, true), kThreeZones, 4);
  load.RunFor(10s);
  load.ScaleDemand("a", 0.7 / 1.3);
  load.ScaleDemand("c", 1.3 / 0.7);
  load.RunFor(2s);
  const auto& control = load.HostOf("c").GetServers().GetLoadControl();
  EXPECT_GT(control.LargestSpill(), 0.05) << "2 s after the move";
  load.RunFor(1s);
  load.TakeGroups();
  load.RunFor(10s);
  const auto met = MetByZone(load);
  for (const auto& [zone, part] : met) {
    RecordProperty("met_" + zone, std::to_string(part));
  }
  EXPECT_LE(Gap(met), 0.02);
}

TEST(ZoneBalance, EndsSpillingWhenReportsStopInABurst)
{
  ServiceLoad load(UnevenShape(0.9, true), kThreeZones, 2);
  load.RunFor(8s);
  const auto& control = load.HostOf("a").GetServers().GetLoadControl();
  ASSERT_GT(control.LargestSpill(), 0.02);
  load.StopReports();
  load.RunFor(2s);
  EXPECT_EQ(control.LargestSpill(), 0);
}

/// Guards against callers whose repeated opening packets go to the server that
/// did not answer, as their zone is determined by the flow.
TEST(ZoneBalance, AvoidsServersThatDoNotAnswerInTheOtherZone)
{
  ServiceLoad load(UnevenShape(0.9, true), kThreeZones, 3);
  load.RunFor(10s);
  ASSERT_GT(load.HostOf("a").GetServers().SpilledCount(), 30U);
  load.TakeCounts();
  load.SetServer(30, ServerMode::Dark);
  load.SetServer(31, ServerMode::Dark);
  load.RunFor(1s);
  load.TakeCounts();
  load.RunFor(4s);
  EXPECT_GT(load.TakeCounts().MetPart(), 0.97);
}

/// Each decision must be the same as without the part while there is no cause.
TEST(ZoneBalance, ChangesNoDecisionWithoutCause)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    std::vector<std::uint64_t> sent;
    for (const bool isOn : { false, true }) {
      LoadShape shape = UnevenShape(0.3, isOn);
      ServiceLoad load(shape, kThreeZones, seed);
      load.SetServer(1, ServerMode::Dark);
      load.SetServer(2, ServerMode::Normal, 4);
      if (seed == 3) {
        load.ScaleDemand("", 4);
        load.StopReports();
      }
      load.RunFor(5s);
      sent.push_back(load.SentDigest());
      EXPECT_EQ(load.HostOf("a").GetServers().SpilledCount(), 0U);
    }
    EXPECT_EQ(sent[0], sent[1]) << "seed " << seed;
  }
}

} // namespace wasabiloom::tests
