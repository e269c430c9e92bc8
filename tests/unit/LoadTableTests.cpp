#include "support/Registry.h"
#include "support/Section.h"
#include "wasabiloom/placing/LoadTable.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace wasabiloom::tests {

using namespace placing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSlots = 20;

Reporter
From(std::uint32_t aHost, std::uint32_t aSequence = 1)
{
  return { { aHost }, "a", 1, aSequence };
}

/// A host with `aRequests` at the servers of "desk" in zone a, whose means are
/// the same.
HostLoad
Load(double aRequests)
{
  return { { { { "desk", "a" }, aRequests } }, {} };
}

LearnedLoad
Means(double aRequests)
{
  return { { { { "desk", "a" }, { aRequests, aRequests } } }, 1, {} };
}

/// The mean per host of zone b at the servers of "desk" in `aZone`.
LearnedLoad
FromZoneB(const std::string& aZone, double aRequests, base::Duration aAge = 0s)
{
  return { {}, 0, { { "b", { "desk", aZone }, aRequests, 5, aAge } } };
}

class LoadTableTest : public testing::Test
{
protected:
  LoadTableTest()
  {
    m_table.SetSlots(
      { { { "desk", "a" }, kSlots }, { { "desk", "b" }, kSlots } });
    m_table.SetLiveHosts({ { "a", 10 }, { "b", 4 } });
  }

  /// Lets `aCount` hosts of zone a report the same load at `aSeconds`.
  void Report(std::uint32_t aCount, double aRequests, double aSeconds)
  {
    ++m_sequence;
    for (std::uint32_t host = 1; host <= aCount; ++host) {
      EXPECT_TRUE(m_table.Merge(From(host, m_sequence),
                                Load(aRequests),
                                Means(aRequests),
                                At(aSeconds)));
    }
    m_table.Tick(At(aSeconds));
  }

  /// Ticks four times a second up to `aSeconds`.
  void RunUntil(double aFrom, double aSeconds)
  {
    const auto ticks = std::lround(std::floor(4 * (aSeconds - aFrom) + 1e-6));
    for (long tick = 0; tick <= ticks; ++tick) {
      m_table.Tick(At(aFrom + 0.25 * static_cast<double>(tick)));
    }
  }

  /// Requests per slot of "desk" in `aZone`; -1 without an estimate.
  double LoadOf(const std::string& aZone, double aSeconds) const
  {
    const auto load = m_table.LoadOfZone("desk", aZone, At(aSeconds));
    return load ? load->m_requestsPerSlot : -1;
  }

  LoadTable m_table{ "a" };
  std::uint32_t m_sequence = 0;
};

} // namespace

TEST_F(LoadTableTest, EstimatesTheLoadOfAZoneFromSomeOfItsHosts)
{
  Section("there is no estimate from fewer than three hosts", [&] {
    Report(2, 4, 0);
    EXPECT_EQ(LoadOf("a", 0), -1);
  });
  Section("three hosts stand for all ten of the zone", [&] {
    Report(3, 4, 0.2);
    EXPECT_DOUBLE_EQ(LoadOf("a", 0.2), 4.0 * 10 / kSlots);
    EXPECT_EQ(m_table.LoadOfZone("desk", "a", At(0.5))->m_age, 300ms);
  });
  Section("flows from another zone add to the load", [&] {
    m_table.Merge({ { 50 }, "b", 1, 1 }, {}, FromZoneB("a", 2), At(0.4));
    m_table.Tick(At(0.4));
    EXPECT_DOUBLE_EQ(LoadOf("a", 0.4), (4.0 * 10 + 2.0 * 4) / kSlots);
  });
  Section("another zone is unknown without its own hosts' mean", [&] {
    EXPECT_EQ(LoadOf("b", 0.4), -1);
    m_table.Merge({ { 51 }, "b", 1, 1 }, {}, FromZoneB("b", 5), At(0.4));
    m_table.Tick(At(0.6));
    EXPECT_DOUBLE_EQ(LoadOf("b", 0.6), 5.0 * 4 / kSlots);
  });
  Section("a zone whose hosts report no requests has head room", [&] {
    m_table.SetSlots({ { { "desk", "a" }, kSlots }, { { "idle", "a" }, 1 } });
    m_table.Tick(At(0.8));
    EXPECT_EQ(m_table.LoadOfZone("idle", "a", At(0.8))->m_requestsPerSlot, 0);
  });
}

TEST_F(LoadTableTest, DropsReportsAfterTwoSeconds)
{
  Report(5, 4, 0);
  m_table.Merge({ { 50 }, "b", 1, 1 }, {}, FromZoneB("b", 5, 1500ms), At(0));
  RunUntil(0.25, 0.25);
  EXPECT_GT(LoadOf("b", 0.25), 0);
  Section("an estimate that was passed on keeps its age", [&] {
    RunUntil(0.5, 1);
    EXPECT_EQ(LoadOf("b", 1), -1);
    EXPECT_GT(LoadOf("a", 1), 0);
  });
  Section("nothing is left of reports older than 2 s", [&] {
    RunUntil(1.25, 2.25);
    EXPECT_EQ(LoadOf("a", 2.25), -1);
    EXPECT_EQ(m_table.ReporterCount(), 0U);
  });
  Section("an estimate that is not computed again expires, too", [&] {
    Report(5, 4, 2.5);
    EXPECT_GT(LoadOf("a", 4), 0);
    EXPECT_EQ(LoadOf("a", 4.6), -1);
  });
}

TEST_F(LoadTableTest, IgnoresRepeatedAndLateReports)
{
  Report(3, 4, 0);
  Report(3, 8, 0.2);
  const double load = LoadOf("a", 0.2);
  Section("a report that arrives twice or after a newer one", [&] {
    EXPECT_FALSE(m_table.Merge(From(1, 2), Load(90), Means(90), At(0.3)));
    EXPECT_FALSE(m_table.Merge(From(1, 1), Load(90), Means(90), At(0.3)));
    m_table.Tick(At(0.4));
    EXPECT_DOUBLE_EQ(LoadOf("a", 0.4), load);
  });
  Section("a sender that restarted counts its reports anew", [&] {
    const Reporter restarted{ { 1 }, "a", 2, 1 };
    EXPECT_TRUE(m_table.Merge(restarted, Load(90), Means(90), At(0.5)));
    EXPECT_FALSE(m_table.Merge(From(1, 9), Load(4), Means(4), At(0.5)));
    m_table.Tick(At(0.6));
    EXPECT_GT(LoadOf("a", 0.6), load);
  });
}

TEST_F(LoadTableTest, KnowsNothingAfterAPause)
{
  Report(5, 4, 0);
  Section("what was known before the pause is dropped", [&] {
    m_table.Tick(At(1.5));
    EXPECT_EQ(LoadOf("a", 1.5), -1);
  });
  Section("reports that waited in the socket's buffer are ignored", [&] {
    EXPECT_FALSE(m_table.Merge(From(1, 9), Load(4), Means(4), At(1.55)));
  });
  Section("later reports count", [&] {
    Report(5, 4, 1.8);
    EXPECT_GT(LoadOf("a", 1.8), 0);
  });
}

TEST_F(LoadTableTest, GivesObservationsOfServersOverHosts)
{
  constexpr std::uint32_t kToken = 7;
  const auto report = [&](std::uint32_t aHost, const ServerSample& aSample) {
    m_table.Merge(From(aHost), { {}, { aSample } }, {}, At(0));
  };
  report(1, { kToken, 10ms, 1, false });
  report(2, { kToken, 40ms, 2, false });
  report(3, { kToken, 0ms, 0, true });
  EXPECT_EQ(m_table.ObservationOf(kToken, At(0)),
            (ServerObservation{ 30ms, 3, 1 }));
  EXPECT_FALSE(m_table.ObservationOf(kToken + 1, At(0)));
  Section("a later sample of the same host replaces the earlier one", [&] {
    m_table.Merge(
      From(3, 2), { {}, { { kToken, 30ms, 5, false } } }, {}, At(0.5));
    EXPECT_EQ(m_table.ObservationOf(kToken, At(0.5))->m_failingHosts, 0U);
    EXPECT_EQ(m_table.ObservationOf(kToken, At(2.2))->m_responses, 5U);
    EXPECT_FALSE(m_table.ObservationOf(kToken, At(2.6)));
  });
}

TEST_F(LoadTableTest, BoundsItsMemoryAndRejectsInvalidNumbers)
{
  Section("hosts, zones and servers have limits", [&] {
    for (std::uint32_t host = 1; host <= 2 * kMaxReporters; ++host) {
      HostLoad load = Load(1);
      for (std::uint32_t i = 0; i < kMaxServersPerReport; ++i) {
        load.m_servers.push_back({ host * 100 + i, 1ms, 1, false });
      }
      m_table.Merge(From(host), load, {}, At(0));
      LearnedLoad zones;
      for (std::size_t i = 0; i < kMaxZoneRequests; ++i) {
        zones.m_zones.push_back(
          { "z" + std::to_string(std::size_t{ host } * 1000 + i),
            { "desk", "a" },
            1,
            5,
            0s });
      }
      m_table.Merge({ { host }, "b", 1, 1 }, {}, zones, At(0));
    }
    m_table.Tick(At(0.1));
    EXPECT_EQ(m_table.ReporterCount(), kMaxReporters);
    EXPECT_LE(m_table.Newest(100'000, At(0.1)).m_zones.size(),
              kMaxZoneMeans + 2);
  });
  Section("a report with a number or name out of range has no effect", [&] {
    const double nan = std::numeric_limits<double>::quiet_NaN();
    for (const double bad : { nan, -1.0, 1e300 }) {
      EXPECT_FALSE(m_table.Merge(From(1, 9), Load(bad), {}, At(0.2)));
      EXPECT_FALSE(m_table.Merge(From(1, 9), {}, Means(bad), At(0.2)));
    }
    HostLoad longName;
    longName.m_requests.push_back({ { std::string(1000, 'x'), "a" }, 1 });
    EXPECT_FALSE(m_table.Merge(From(1, 9), longName, {}, At(0.2)));
  });
}

} // namespace wasabiloom::tests
