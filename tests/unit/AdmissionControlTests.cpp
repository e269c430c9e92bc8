#include "support/Section.h"
#include "support/ServiceLoad.h"
#include "wasabiloom/base/Hash.h"
#include "wasabiloom/placing/AdmissionControl.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace wasabiloom::tests {

using namespace std::chrono_literals;
using placing::AdmissionControl;
using placing::FlowClass;
using placing::Urgency;

namespace {

constexpr FlowClass kUrgent{ 1, false };
constexpr FlowClass kMiddle{ 2, false };
constexpr FlowClass kLeast{ 2, true };

/// Takes `aSteps` steps with three classes and a constant load.
void
Step(AdmissionControl& aControl,
     int aSteps,
     double aLoad,
     base::Duration aAge = 300ms)
{
  const std::vector<FlowClass> classes = { kUrgent, kMiddle, kLeast };
  for (int i = 0; i < aSteps; ++i) {
    aControl.Step(placing::ZoneLoad{ aLoad, aAge }, classes);
  }
}

double
AdmittedPart(const AdmissionControl& aControl, const FlowClass& aClass)
{
  int count = 0;
  for (std::uint64_t flow = 0; flow < 10'000; ++flow) {
    count += aControl.Admits(aClass, base::Mix(flow)) ? 1 : 0;
  }
  return count / 10'000.0;
}

/// Two zones with even demand, `aDemand` times the capacity.
LoadShape
FullShape(double aDemand, bool aIsOn)
{
  constexpr double kZoneCapacity = 20 * 2 / 0.04;
  LoadShape shape;
  shape.m_work = 40ms;
  shape.m_aim = 300ms;
  shape.m_timeout = 2s;
  shape.m_demand = { { "a", aDemand * kZoneCapacity },
                     { "b", aDemand * kZoneCapacity } };
  shape.m_hosts = 8;
  shape.m_queue = 8;
  shape.m_urgentPart = 0.22;
  shape.m_keptPart = 0.22;
  shape.m_features = { aIsOn, aIsOn, false };
  return shape;
}

const std::map<std::string, int> kTwoZones = { { "a", 20 }, { "b", 20 } };

/// Outcomes by urgency.
std::map<bool, LoadCounts>
TakeByUrgency(ServiceLoad& aLoad)
{
  std::map<bool, LoadCounts> counts;
  for (const auto& [group, each] : aLoad.TakeGroups()) {
    counts[group.m_isUrgent] += each;
  }
  return counts;
}

/// Tells that all zones are full, or nothing.
class FullZones final : public placing::SharedLoad
{
public:
  std::optional<placing::ZoneLoad> LoadOfZone(
    std::string_view /*aService*/,
    std::string_view /*aZone*/,
    base::Instant /*aNow*/) const override
  {
    return placing::ZoneLoad{ 5, 200ms };
  }
  std::optional<placing::ServerObservation> ObservationOf(
    std::uint32_t /*aToken*/,
    base::Instant /*aNow*/) const override
  {
    return std::nullopt;
  }
};

/// Keeps the reason of the last decision.
class LastReason final : public token::TokenEffects
{
public:
  void Send(const base::Endpoint& /*aTo*/,
            std::span<const std::byte> /*aBytes*/) override
  {
  }
  void LogDecision(const token::Decision& aDecision) override
  {
    m_reason = aDecision.m_reason;
  }
  void LogStateChange(std::string_view aWhat,
                      const std::string& /*aDetail*/) override
  {
    m_events.insert(std::string(aWhat));
  }
  void LogDetail(std::string_view /*aWhat*/,
                 const std::string& /*aDetail*/) override
  {
  }
  bool LogsDetails() const override { return false; }

  token::Reason m_reason = token::Reason::Malformed;
  std::set<std::string> m_events;
};

} // namespace

TEST(AdmissionControl, RefusesLessUrgentClassesFirst)
{
  AdmissionControl control;
  Section("nobody while servers keep up, nor for a moment above", [&] {
    Step(control, 100, 2.6);
    Step(control, 2, 4);
    EXPECT_EQ(control.Level(), 0);
    EXPECT_EQ(AdmittedPart(control, kLeast), 1);
    EXPECT_EQ(control.UrgencyOf(kUrgent), Urgency::Equal);
    EXPECT_FALSE(control.IsReserved(1));
  });
  Section("then the least urgent in steps, the middle class after it", [&] {
    Step(control, 1, 4);
    EXPECT_GT(control.Level(), 0);
    EXPECT_LE(control.Level(), placing::kMaxStepUp);
    EXPECT_LT(AdmittedPart(control, kLeast), 1);
    EXPECT_EQ(AdmittedPart(control, kMiddle), 1);
    EXPECT_EQ(control.UrgencyOf(kUrgent), Urgency::Urgent);
    EXPECT_EQ(control.UrgencyOf(kLeast), Urgency::Ordinary);
    Step(control, 500, 5);
    EXPECT_EQ(control.Level(), 2);
    EXPECT_EQ(AdmittedPart(control, kUrgent), 1);
    EXPECT_NEAR(AdmittedPart(control, kMiddle), placing::kFloorShare, 0.01);
    EXPECT_NEAR(AdmittedPart(control, kLeast), placing::kFloorShare, 0.01);
  });
  Section("a class that is in no route counts by its place", [&] {
    EXPECT_EQ(AdmittedPart(control, { 0, true }), 1);
    EXPECT_LT(AdmittedPart(control, { 9, true }), 1);
  });
  Section("while the load is in between, the level hardly moves", [&] {
    const double before = control.Level();
    Step(control, 5, 2.8);
    EXPECT_LT(control.Level(), before);
    EXPECT_GT(control.Level(), before - 0.05);
  });
  Section("it reopens in small steps", [&] {
    const double before = control.Level();
    Step(control, 1, 1);
    EXPECT_GE(control.Level(), before - placing::kMaxStepDown);
    Step(control, 1000, 1);
    EXPECT_EQ(control.Level(), 0);
  });
}

TEST(AdmissionControl, RefusesNobodyWithoutRecentReports)
{
  AdmissionControl control;
  Step(control, 500, 5);
  ASSERT_GT(control.Level(), 1);
  Section("the level is 0 when the reports are 2 s old", [&] {
    for (base::Duration age = 0s; age <= 2s;
         age += placing::kLoadStepInterval) {
      Step(control, 1, 5, age);
    }
    EXPECT_EQ(control.Level(), 0);
  });
  Section("it stays 0 without an estimate and with one class only", [&] {
    control.Step(std::nullopt, std::vector<FlowClass>{ kUrgent, kLeast });
    EXPECT_EQ(control.Level(), 0);
    for (int i = 0; i < 50; ++i) {
      control.Step(placing::ZoneLoad{ 5, 300ms },
                   std::vector<FlowClass>{ kLeast });
    }
    EXPECT_EQ(AdmittedPart(control, kLeast), 1);
  });
}

TEST(AdmissionControl, ReservesServersForTheUrgentPartOfTheDemand)
{
  const auto reservedOf = [](int aUrgentOfTen) {
    AdmissionControl control;
    Step(control, 1, 4);
    for (int flow = 0; flow < 1000; ++flow) {
      control.CountFlow(flow % 10 < aUrgentOfTen ? kUrgent : kLeast);
    }
    Step(control, 3, 4);
    std::set<std::uint32_t> reserved;
    for (std::uint32_t token = 1; token <= 2000; ++token) {
      if (control.IsReserved(token)) {
        reserved.insert(token);
      }
    }
    return reserved;
  };
  const auto few = reservedOf(2);
  const auto more = reservedOf(3);
  EXPECT_NEAR(static_cast<double>(few.size()) / 2000, 0.2, 0.03);
  EXPECT_NEAR(static_cast<double>(more.size()) / 2000, 0.3, 0.03);
  EXPECT_TRUE(std::ranges::includes(more, few))
    << "hosts with other counts choose nearly the same servers";
  EXPECT_TRUE(reservedOf(0).empty());
}

/// Guards against hosts that all open and close together on late estimates.
TEST(AdmissionControl, ConvergesWithoutSwingingOnLateEstimates)
{
  AdmissionControl control;
  std::vector<double> loads;
  std::vector<double> demands;
  for (int i = 0; i < 200; ++i) {
    // A request is lost only if both retries are refused too.
    const double refused = control.RefusedPart(kLeast);
    const double demand = 1.25 * (1 - 0.78 * std::pow(refused, 3));
    demands.push_back(demand);
    loads.push_back(2.6 + 4.0 * (demand - 1));
    const double seen = loads.at(i < 5 ? 0 : static_cast<std::size_t>(i - 5));
    control.CountFlow(i % 5 == 0 ? kUrgent : kLeast);
    control.Step(placing::ZoneLoad{ seen, 1s },
                 std::vector<FlowClass>{ kUrgent, kLeast });
  }
  const auto [low, high] =
    std::minmax_element(demands.begin() + 50, demands.end());
  EXPECT_GT(*low, 0.95);
  EXPECT_LT(*high, placing::kDemandToBegin);
}

/// Guards against a reset of a flow that a server has opened: only the first
/// copy of an opening packet is refused, and none that was delivered before.
TEST(AdmissionControl, RefusesOnlyFlowsThatNoServerCanHaveOpened)
{
  platform::DatagramCodec codec;
  LastReason effects;
  FullZones loads;
  token::TokenHost host({ "h", "a", 8172, 4s, { false, true, false } },
                        {},
                        1,
                        codec,
                        effects,
                        &loads);
  registry::Fact configuration = ConfigurationFact(1, 1);
  auto& routes =
    std::get<registry::Configuration>(configuration.m_content).m_routes;
  routes.push_back(routes[0]);
  routes[1].m_address.m_port = 444;
  routes[1].m_priority = 1;
  host.NextCall(At(0));
  host.OnListAnswer(
    registry::Page{
      { configuration, ServerFact(MakeServer("i-1"), 5) }, "", 10 },
    At(0));
  host.NextCall(At(0));
  host.OnWatchAnswer(registry::Changes{ {}, 10 }, At(0));
  const auto reasonOf = [&](std::uint16_t aCallerPort,
                            std::uint32_t aCopy,
                            std::uint16_t aPort,
                            double aSeconds) {
    Sent opening;
    opening.m_callerPort = aCallerPort;
    opening.m_acknowledged = aCopy;
    opening.m_port = aPort;
    host.OnPacket(Write(opening), At(aSeconds));
    return effects.m_reason;
  };
  constexpr std::uint16_t kFlows = 200;
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    EXPECT_NE(reasonOf(port, 0, 443, 0), token::Reason::NotAdmitted);
  }
  double now = 0;
  for (int tick = 0; tick < 60; ++tick) {
    now += 0.05;
    host.OnTick(At(now));
  }
  EXPECT_TRUE(effects.m_events.contains("admission"));

  Section("flows that were delivered before, and later copies", [&] {
    for (std::uint16_t port = 1; port <= kFlows; ++port) {
      EXPECT_NE(reasonOf(port, 0, 443, now), token::Reason::NotAdmitted);
      EXPECT_NE(reasonOf(1000 + port, 1, 443, now), token::Reason::NotAdmitted);
    }
  });
  Section("urgent flows", [&] {
    for (std::uint16_t port = 1; port <= kFlows; ++port) {
      EXPECT_NE(reasonOf(2000 + port, 0, 444, now), token::Reason::NotAdmitted);
    }
  });
  Section("most other new flows are refused", [&] {
    int refused = 0;
    for (std::uint16_t port = 1; port <= kFlows; ++port) {
      refused +=
        reasonOf(3000 + port, 0, 443, now) == token::Reason::NotAdmitted;
    }
    EXPECT_GT(refused, kFlows / 2);
    EXPECT_LT(refused, kFlows);
    EXPECT_EQ(ToString(token::Reason::NotAdmitted), "not_admitted");
  });
}

TEST(AdmissionControl, KeepsUrgentRequestsInTheirObjectiveUnderOverload)
{
  // The capacity that is left for the rest, relative to its demand.
  const double possible = (1 / 1.2 - 0.22) / 0.78;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    std::map<bool, std::map<bool, LoadCounts>> counts;
    for (const bool isOn : { false, true }) {
      ServiceLoad load(FullShape(1.2, isOn), kTwoZones, seed);
      load.RunFor(10s);
      load.TakeGroups();
      load.RunFor(15s);
      counts[isOn] = TakeByUrgency(load);
    }
    EXPECT_LT(counts[false][true].MetPart(), 0.9)
      << "the load that the part is for";
    EXPECT_GE(counts[true][true].MetPart(), 0.98) << "seed " << seed;
    EXPECT_EQ(counts[true][true].m_refused, 0);
    EXPECT_GE(counts[true][false].MetPart(), possible - 0.05)
      << "seed " << seed;
    EXPECT_GT(counts[true][false].m_refused, 0);
  }
}

TEST(AdmissionControl, RefusesNobodyBelowTheCapacity)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ServiceLoad load(FullShape(0.9, true), kTwoZones, seed);
    load.RunFor(20s);
    const auto counts = load.TakeCounts();
    EXPECT_EQ(counts.m_refused, 0) << "seed " << seed;
  }
}

TEST(AdmissionControl, ReopensAfterABurst)
{
  ServiceLoad load(FullShape(0.8, true), kTwoZones, 2);
  load.RunFor(5s);
  load.ScaleDemand("", 1.6);
  load.RunFor(10s);
  const auto& control = load.HostOf("a").GetServers().GetLoadControl();
  EXPECT_GT(control.HighestLevel(), 0);
  load.ScaleDemand("", 1 / 1.6);
  load.RunFor(5s);
  load.TakeCounts();
  EXPECT_EQ(control.HighestLevel(), 0);
  load.RunFor(5s);
  auto counts = TakeByUrgency(load);
  EXPECT_EQ(counts[false].m_refused, 0);
  EXPECT_GE(counts[false].MetPart(), 0.99);
}

TEST(AdmissionControl, RefusesNobodyWhenReportsStopInABurst)
{
  ServiceLoad load(FullShape(1.25, true), kTwoZones, 3);
  load.RunFor(8s);
  ASSERT_GT(load.TakeCounts().m_refused, 0);
  load.StopReports();
  load.RunFor(2s);
  load.TakeCounts();
  load.RunFor(3s);
  EXPECT_EQ(load.TakeCounts().m_refused, 0);
}

TEST(AdmissionControl, ChangesNoDecisionWithoutCause)
{
  std::vector<std::uint64_t> sent;
  for (const bool isOn : { false, true }) {
    LoadShape shape = FullShape(0.8, false);
    shape.m_features.m_admission = isOn;
    ServiceLoad load(shape, kTwoZones, 4);
    load.SetServer(1, ServerMode::Dark);
    load.SetServer(2, ServerMode::Refusing);
    load.RunFor(5s);
    sent.push_back(load.SentDigest());
  }
  EXPECT_EQ(sent[0], sent[1]);
}

} // namespace wasabiloom::tests
