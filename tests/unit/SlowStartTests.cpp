#include "support/CallerPacket.h"
#include "support/Registry.h"
#include "support/Section.h"
#include "support/ServiceLoad.h"
#include "wasabiloom/base/Hash.h"
#include "wasabiloom/placing/ColdQuota.h"
#include "wasabiloom/placing/LatencyTracker.h"
#include "wasabiloom/placing/Placement.h"
#include "wasabiloom/placing/SlowStart.h"
#include "wasabiloom/token/ServerSelector.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

namespace wasabiloom::tests {

using namespace placing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kService = 7;
constexpr std::uint64_t kSeeds = 5;

/// One server as a host sees it, and its ramp.
class OneServer
{
public:
  OneServer()
  {
    m_slowStart.SetKnownSince(At(0));
    m_seen.m_token = 1;
    m_seen.m_address = { { 0x0a800001 }, 8080 };
  }

  double ShareAt(double aSeconds, std::uint32_t aObserved = 0)
  {
    std::optional<ServerObservation> observed;
    if (aObserved > 0) {
      observed = ServerObservation{ 25ms, aObserved, 0 };
    }
    return m_slowStart.ShareOf(m_seen, observed, At(aSeconds));
  }

  /// A request that is answered after `aSpan`.
  void Answer(double aSeconds, base::Duration aSpan = 25ms)
  {
    m_seen.m_heardAt = At(aSeconds);
    m_slowStart.OnHeard(m_seen.m_token);
    m_slowStart.OnResponse(m_seen.m_token, kService, aSpan, At(aSeconds));
  }

  /// The next start of the server, under a new token.
  void Restart(double aSeconds)
  {
    ++m_seen.m_token;
    m_seen.m_listedSince = At(aSeconds);
    m_seen.m_heardAt = {};
  }

  /// Answers a request each 50 ms until the share is 1. Returns the time.
  double Recover(double aFrom)
  {
    double now = aFrom;
    while (ShareAt(now) < 1 && now < aFrom + 60) {
      now += 0.05;
      Answer(now);
    }
    return now;
  }

  SlowStart m_slowStart;
  ServerSighting m_seen;
};

/// Candidates in the host's zone with tokens from 1 on.
std::vector<Candidate>
Equal(std::uint32_t aCount)
{
  std::vector<Candidate> candidates(aCount);
  for (std::uint32_t i = 0; i < aCount; ++i) {
    candidates[i].m_token = i + 1;
    candidates[i].m_slots = 2;
    candidates[i].m_sameZone = true;
  }
  return candidates;
}

/// Number of 20,000 flows that each candidate gets.
std::map<std::uint32_t, int>
Spread(const std::vector<Candidate>& aCandidates)
{
  std::map<std::uint32_t, int> counts;
  for (std::uint64_t flow = 1; flow <= 20'000; ++flow) {
    ++counts[Place(aCandidates, 0, base::Mix(flow))->m_token];
  }
  return counts;
}

LoadShape
Shape(bool aSlowStart, double aPerSecond = 100)
{
  LoadShape shape;
  shape.m_requestsPerSecond = aPerSecond;
  shape.m_features.m_slowStart = aSlowStart;
  return shape;
}

} // namespace

/// A server that starts must not get a full share at once.
TEST(SlowStart, GrowsWithResponsesOfAServerThatStarts)
{
  OneServer server;
  Section("a server of the first listing has the full share", [&] {
    server.m_seen.m_listedSince = At(0);
    EXPECT_EQ(server.ShareAt(1), 1);
    EXPECT_EQ(server.m_slowStart.Size(), 0U);
  });
  Section("a later start begins small and is at the full share within seconds "
          "of normal responses",
          [&] {
            server.Restart(10);
            EXPECT_EQ(server.ShareAt(10), kFirstShare);
            const double full = server.Recover(10);
            EXPECT_GT(full, 10 + 1.0);
            EXPECT_LT(full, 10 + 3.0);
          });
  Section("the share doubles at most once in kDoublingTime", [&] {
    OneServer busy;
    busy.Restart(10);
    busy.ShareAt(10);
    for (int i = 0; i < 1000; ++i) {
      busy.Answer(10.01);
    }
    EXPECT_LE(busy.ShareAt(10.01), 2 * kFirstShare);
  });
  Section("it stays at the full share after the record is removed", [&] {
    server.m_slowStart.Sweep(At(100));
    EXPECT_EQ(server.m_slowStart.Size(), 0U);
    EXPECT_EQ(server.ShareAt(100), 1);
  });
  Section("the log tells the begin and the end of the ramp", [&] {
    const auto events = server.m_slowStart.TakeEvents();
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].m_stage, RampStage::Began);
    EXPECT_EQ(events[0].m_cause, RampCause::Started);
    EXPECT_EQ(events[1].m_stage, RampStage::Full);
    EXPECT_TRUE(server.m_slowStart.TakeEvents().empty());
  });
}

TEST(SlowStart, BeginsAgainAfterColdTimeLapseAndSuspicion)
{
  OneServer server;
  Section("a server that was cold ramps up when it is warm", [&] {
    server.m_seen.m_listedSince = At(5);
    server.m_seen.m_coldUntil = At(10);
    EXPECT_EQ(server.ShareAt(9), kFirstShare);
    EXPECT_EQ(server.ShareAt(10), kFirstShare);
    EXPECT_EQ(server.m_slowStart.TakeEvents().at(0).m_cause, RampCause::Warm);
    EXPECT_EQ(server.ShareAt(server.Recover(10)), 1);
  });
  Section("an entry that is listed again after a lapse", [&] {
    server.m_seen.m_listedSince = At(200);
    server.m_slowStart.Sweep(At(199));
    EXPECT_EQ(server.ShareAt(200), kFirstShare);
    EXPECT_EQ(server.ShareAt(server.Recover(200)), 1);
  });
  Section("a server that is heard after it was suspect", [&] {
    server.m_seen.m_heardAt = At(300);
    server.m_slowStart.Sweep(At(299));
    server.m_slowStart.OnSuspected(server.m_seen, At(303));
    EXPECT_EQ(server.ShareAt(303), kFirstShare);
    server.Answer(305);
    EXPECT_EQ(server.ShareAt(305), kFirstShare);
    EXPECT_EQ(server.m_slowStart.TakeEvents().back().m_cause,
              RampCause::HeardAgain);
  });
  Section("a lost packet of a server that answers others is no failure", [&] {
    OneServer sound;
    sound.m_seen.m_heardAt = At(50);
    sound.m_slowStart.OnSuspected(sound.m_seen, At(50.1));
    sound.m_seen.m_heardAt = At(50.2);
    EXPECT_EQ(sound.ShareAt(50.2), 1);
    EXPECT_EQ(sound.m_slowStart.Totals().m_began, 0U);
  });
}

TEST(SlowStart, ShrinksWithSlowAndMissingResponses)
{
  OneServer server;
  server.m_seen.m_listedSince = At(0);
  for (int i = 0; i < 20; ++i) {
    server.Answer(1);
  }
  server.Restart(10);
  server.ShareAt(10);
  for (int step = 0; step < 20; ++step) {
    server.Answer(10 + step * 0.05);
  }
  const double grown = server.ShareAt(11);
  ASSERT_GT(grown, 2 * kFirstShare);
  ASSERT_LT(grown, 1);

  Section("a slow response shrinks the share", [&] {
    server.Answer(11.5, 80ms);
    EXPECT_LT(server.ShareAt(11.5), grown);
  });
  Section("flows without an answer shrink it down to the first share", [&] {
    server.m_slowStart.OnPlaced(server.m_seen.m_token, At(11.5));
    double least = 1;
    for (int step = 0; step < 85; ++step) {
      least = std::min(least, server.ShareAt(11.5 + step * 0.1));
    }
    EXPECT_EQ(least, kFirstShare);
  });
}

/// A host that places few flows must not leave a healthy server idle.
TEST(SlowStart, CountsResponsesOfOtherHostsOnce)
{
  Section("the same report read twice counts once", [&] {
    OneServer server;
    server.Restart(10);
    server.ShareAt(10);
    const double once = server.ShareAt(11, 1);
    EXPECT_DOUBLE_EQ(once, 2 * kFirstShare);
    EXPECT_EQ(server.ShareAt(11.5, 1), once);
    EXPECT_GT(server.ShareAt(11.6, 2), once);
  });
  Section("other hosts' responses bring a server to the full share", [&] {
    OneServer server;
    server.Restart(10);
    double now = 10;
    std::uint32_t observed = 0;
    while (server.ShareAt(now, observed) < 1 && now < 30) {
      now += 0.1;
      observed += 1;
    }
    EXPECT_LT(now, 10 + 3.0);
  });
  Section("a suspect server that answers other hosts is no longer left out",
          [&] {
            OneServer server;
            server.m_slowStart.OnSuspected(server.m_seen, At(10));
            EXPECT_EQ(server.ShareAt(10, 5), kFirstShare);
            EXPECT_EQ(server.ShareAt(11, 5), kFirstShare);
            EXPECT_EQ(server.m_slowStart.Totals().m_began, 0U);
            server.ShareAt(12, 6);
            EXPECT_EQ(server.m_slowStart.Totals().m_began, 1U);
          });
  Section("without flows and reports the share still grows", [&] {
    OneServer server;
    server.Restart(10);
    server.ShareAt(10);
    EXPECT_LT(server.ShareAt(12.5), 0.5);
    EXPECT_EQ(server.ShareAt(20), 1);
  });
}

/// A flapping server must not be tried each time as if for the first time.
TEST(SlowStart, BeginsSmallerAndLaterAfterRepeatedFailures)
{
  OneServer server;
  std::vector<double> durations;
  double now = 10;
  for (int start = 0; start < 7; ++start) {
    server.Restart(now);
    const double share = server.ShareAt(now);
    EXPECT_LE(share, kFirstShare);
    const double full = server.Recover(now);
    durations.push_back(full - now);
    now = full + 5;
  }
  Section("each ramp takes longer than the one before, up to a bound", [&] {
    for (std::size_t i = 1; i <= kMaxFailures; ++i) {
      EXPECT_GT(durations[i], durations[i - 1] + 0.9) << i;
    }
    EXPECT_LT(durations.back(), 15);
    EXPECT_NEAR(durations[6], durations[5], 0.5);
  });
  Section("after a minute of good service the failures no longer count", [&] {
    server.Restart(now + 61);
    EXPECT_EQ(server.ShareAt(now + 61), kFirstShare);
  });
  Section("another address is not affected", [&] {
    server.m_seen.m_address.m_port = 1;
    server.Restart(now + 62);
    EXPECT_EQ(server.ShareAt(now + 62), kFirstShare);
  });
}

TEST(ColdQuota, KeepsTheSumOverHostsWithinTheAllowance)
{
  struct Case
  {
    std::uint32_t m_hosts;
    std::uint32_t m_sides;
    bool m_knewAll;
    double m_perSecond;
  };
  // Sides are the parts of the zone whose hosts know each other.
  for (const Case& one : { Case{ 30, 1, true, 20 },
                           Case{ 30, 2, false, 20 },
                           Case{ 30, 30, true, 20 },
                           Case{ 2, 2, false, 4 },
                           Case{ 4, 4, true, 4 },
                           Case{ 8, 2, false, 0.5 },
                           Case{ 3, 1, true, 100 } }) {
    std::vector<ColdQuota> quotas(one.m_hosts);
    const std::uint32_t count = one.m_hosts / one.m_sides;
    std::deque<base::Instant> sent;
    std::size_t most = 0;
    std::size_t total = 0;
    for (int step = 0; step < 2000; ++step) {
      const double now = step * 0.01;
      for (std::uint32_t host = 0; host < one.m_hosts; ++host) {
        const bool knowsAll = one.m_knewAll && now < 1;
        quotas[host].SetHosts(knowsAll ? HostPosition{ one.m_hosts, host }
                                       : HostPosition{ count, host % count },
                              At(now));
        if (quotas[host].MaySend(1, one.m_perSecond, At(now))) {
          quotas[host].OnSent(1, At(now));
          sent.push_back(At(now));
          ++total;
        }
      }
      while (!sent.empty() && At(now) - sent.front() >= 1s) {
        sent.pop_front();
      }
      most = std::max(most, sent.size());
    }
    EXPECT_LE(static_cast<double>(most),
              one.m_perSecond * kColdFactor + kColdMargin)
      << one.m_hosts << " hosts, " << one.m_sides << " sides";
    if (one.m_sides <= 2) {
      EXPECT_GT(total, 0U) << one.m_hosts << " hosts";
    }
  }
}

TEST(ColdQuota, SendsNothingBeforeTheHostsOfTheZoneAreKnown)
{
  ColdQuota quota;
  EXPECT_FALSE(quota.MaySend(1, 100, At(0)));
  quota.SetHosts({ 1, 0 }, At(0));
  EXPECT_FALSE(quota.MaySend(1, 100, At(1)));
  EXPECT_TRUE(quota.MaySend(1, 100, At(4)));
  EXPECT_FALSE(quota.MaySend(1, 0, At(4)));
}

TEST(Place, GivesRampingServersTheirShares)
{
  Section("of a normal server's flows, whatever the load of the others", [&] {
    auto servers = Equal(5);
    servers[0].m_share = 0.25;
    for (const std::uint32_t requests : { 0U, 3U }) {
      for (std::size_t i = 1; i < servers.size(); ++i) {
        servers[i].m_activeRequests = requests;
      }
      const auto counts = Spread(servers);
      EXPECT_NEAR(counts.at(1), 20'000 * 0.25 / 4.25, 120);
      EXPECT_NEAR(counts.at(2), 20'000 / 4.25, 250);
    }
  });
  Section("none while it has more load than the others", [&] {
    auto servers = Equal(3);
    servers[0].m_share = 0.5;
    servers[0].m_activeRequests = 1;
    EXPECT_FALSE(Spread(servers).contains(1));
  });
  Section("more when many ramp up, so that the others are not overloaded", [&] {
    auto servers = Equal(8);
    for (std::size_t i = 0; i < 4; ++i) {
      servers[i].m_share = 0.1;
    }
    const auto counts = Spread(servers);
    EXPECT_NEAR(counts.at(8), 20'000.0 / 8 * kMaxExtraLoad, 200);
    EXPECT_NEAR(counts.at(1), 20'000.0 / 8 * (2 - kMaxExtraLoad), 200);
  });
  Section("a server that pauses gets nearly nothing all the same", [&] {
    auto servers = Equal(2);
    servers[0].m_share = kPausedShare;
    EXPECT_LT(Spread(servers)[1], 60);
  });
  Section("in proportion if all ramp up, and in the own zone", [&] {
    auto servers = Equal(3);
    servers[0].m_share = 0.1;
    servers[1].m_share = 0.3;
    servers[2].m_sameZone = false;
    const auto counts = Spread(servers);
    EXPECT_NEAR(counts.at(1), 5'000, 250);
    EXPECT_NEAR(counts.at(2), 15'000, 250);
  });
  Section("a suspect server gets nothing by its share", [&] {
    auto servers = Equal(2);
    servers[0].m_share = 0.5;
    servers[0].m_suspect = true;
    EXPECT_EQ(Spread(servers).at(2), 20'000);
  });
  Section("a cold server gets some only if it is allowed", [&] {
    auto servers = Equal(2);
    servers[0].m_cold = true;
    servers[0].m_share = 0.1;
    EXPECT_EQ(Spread(servers).at(2), 20'000);
    servers[0].m_coldAllowed = true;
    EXPECT_NEAR(Spread(servers).at(1), 20'000 * 0.1 / 1.1, 200);
    servers[1].m_sameZone = false;
    EXPECT_NEAR(Spread(servers).at(1), 20'000 * 0.1 / 1.1, 200);
  });
}

TEST(Place, GivesFasterServersMoreFlows)
{
  auto servers = Equal(3);
  for (Candidate& server : servers) {
    server.m_serviceTime = 40ms;
  }
  servers[2].m_serviceTime = 10ms;
  Section("idle servers in proportion to their speeds", [&] {
    const auto counts = Spread(servers);
    EXPECT_NEAR(counts.at(1), 20'000.0 / 6, 300);
    EXPECT_NEAR(counts.at(3), 20'000 * 4.0 / 6, 400);
  });
  Section("requests in progress count by the time that they take", [&] {
    servers[2].m_activeRequests = 2;
    servers[0].m_activeRequests = servers[1].m_activeRequests = 2;
    EXPECT_GT(Spread(servers).at(3), 19'000);
  });
  Section("no flow leaves the zone because of the speeds alone", [&] {
    auto zones = Equal(2);
    for (Candidate& server : zones) {
      server.m_serviceTime = 20ms;
    }
    zones[1].m_sameZone = false;
    zones[1].m_serviceTime = 10ms;
    EXPECT_EQ(Spread(zones).at(1), 20'000);
  });
}

/// The placement without slow start: suspect, cold, load, hash.
RC_GTEST_PROP(Place, DecidesAsBeforeWithoutSlowStart, ())
{
  const auto count = *rc::gen::inRange<std::uint32_t>(1, 30);
  auto servers = Equal(count);
  std::vector<base::Duration> known;
  for (Candidate& server : servers) {
    server.m_activeRequests = *rc::gen::inRange(0U, 6U);
    server.m_openFlows = *rc::gen::inRange(0U, 9U);
    server.m_latency = std::chrono::milliseconds(*rc::gen::inRange(0, 90));
    server.m_sameZone = *rc::gen::arbitrary<bool>();
    server.m_cold = *rc::gen::inRange(0, 5) == 0;
    server.m_suspect = *rc::gen::inRange(0, 5) == 0;
    if (server.m_latency > 0ms) {
      known.push_back(server.m_latency);
    }
  }
  std::ranges::sort(known);
  const double reference =
    known.empty() ? 0 : static_cast<double>(known[known.size() / 4].count());
  const auto avoid = *rc::gen::inRange(0U, 4U);
  const auto hash = *rc::gen::arbitrary<std::uint64_t>();
  const auto rank = [&](const Candidate& aOne) {
    const double behind =
      reference > 0 ? static_cast<double>(aOne.m_latency.count()) / reference -
                        kOrdinaryLatency
                    : 0;
    const double load =
      (aOne.m_activeRequests + kOpenFlowLoad * aOne.m_openFlows) / 2.0 +
      std::max(0.0, behind) + (aOne.m_sameZone ? 0 : kZoneDistance);
    return std::tuple(aOne.m_token == avoid,
                      aOne.m_suspect,
                      aOne.m_cold,
                      load,
                      base::Combine(hash, aOne.m_token));
  };
  const Candidate& best = *std::ranges::min_element(servers, {}, rank);
  RC_ASSERT(Place(servers, avoid, hash)->m_token == best.m_token);
}

TEST(LatencyTracker, MergesTheResponsesOfOtherHosts)
{
  LatencyTracker tracker;
  tracker.AddSample(1, 20ms, At(0));
  const LatencyAverage own = tracker.Average(1, At(0));
  EXPECT_EQ(own.m_samples, 1U);
  EXPECT_FALSE(own.TellsSpeed());
  EXPECT_EQ(Merge(own, std::nullopt), own);
  const LatencyAverage both = Merge(own, ServerObservation{ 40ms, 9, 0 });
  EXPECT_NEAR(static_cast<double>(both.m_latency.count()), 38e6, 1e3);
  EXPECT_TRUE(both.TellsSpeed());
  Section("a new start has a new token and begins without an average",
          [&] { EXPECT_EQ(tracker.Average(2, At(0)), LatencyAverage{}); });
}

namespace {

/// Gives one observation for all servers.
class FakeLoad final : public SharedLoad
{
public:
  std::optional<ZoneLoad> LoadOfZone(std::string_view /*aService*/,
                                     std::string_view /*aZone*/,
                                     base::Instant /*aNow*/) const override
  {
    return std::nullopt;
  }
  std::optional<ServerObservation> ObservationOf(
    std::uint32_t aToken,
    base::Instant /*aNow*/) const override
  {
    const auto found = m_known.find(aToken);
    return found == m_known.end() ? std::nullopt : std::optional(found->second);
  }

  std::map<std::uint32_t, ServerObservation> m_known;
};

/// A selector with five servers and reports of other hosts.
class SelectorTest : public testing::Test
{
protected:
  SelectorTest()
  {
    m_cache.Apply(ConfigurationFact(1, 1), At(0));
    for (const char* id : { "i-1", "i-2", "i-3", "i-4", "i-5" }) {
      m_cache.Apply(ServerFact(MakeServer(id), 5), At(0));
    }
    m_selector.OnRegistryKnown(At(0));
  }

  std::map<std::uint32_t, int> Flows(double aSeconds)
  {
    return FlowsOf(m_selector, aSeconds);
  }

  static std::map<std::uint32_t, int> FlowsOf(token::ServerSelector& aSelector,
                                              double aSeconds)
  {
    std::map<std::uint32_t, int> counts;
    for (std::uint64_t flow = 1; flow <= 200; ++flow) {
      const auto chosen =
        aSelector.ChooseServer("desk", 0, base::Mix(flow), At(aSeconds));
      ++counts[chosen ? chosen->m_token : 0];
    }
    return counts;
  }

  registry::RegistryCache m_cache;
  token::FlowTracker m_flows;
  FakeLoad m_load;
  token::ServerSelector m_selector{ "a",
                                    m_cache,
                                    m_flows,
                                    m_load,
                                    { false, false, true } };
  std::uint32_t m_first = registry::MakeToken("i-1", 1);
};

} // namespace

/// A server that died must not be tried by each host in turn.
TEST_F(SelectorTest, AvoidsServersThatSeveralHostsReport)
{
  m_load.m_known[m_first] = { 0ms, 0, 2 };
  Section("without slow start the reports have no effect", [&] {
    token::ServerSelector off{ "a", m_cache, m_flows, m_load };
    off.OnRegistryKnown(At(0));
    EXPECT_TRUE(FlowsOf(off, 1).contains(m_first));
  });
  Section("two hosts make a server suspect",
          [&] { EXPECT_FALSE(Flows(1).contains(m_first)); });
  Section("it returns with a small share", [&] {
    m_load.m_known.clear();
    const auto counts = Flows(2);
    EXPECT_LT(counts.contains(m_first) ? counts.at(m_first) : 0, 20);
  });
  Section("a single host does not", [&] {
    const std::uint32_t second = registry::MakeToken("i-2", 1);
    m_load.m_known[second] = { 0ms, 0, 1 };
    EXPECT_TRUE(Flows(3).contains(second));
  });
}

namespace {

/// Counts the opening packets that hosts send to the server 10.128.0.1.
class ColdCounter final : public token::TokenEffects
{
public:
  void Send(const base::Endpoint& aTo,
            std::span<const std::byte> /*aBytes*/) override
  {
    if (aTo.m_address.m_bits == 0x0a800001U) {
      m_sent.push_back(m_now);
    }
  }
  void LogDecision(const token::Decision& /*aDecision*/) override {}
  void LogStateChange(std::string_view aWhat,
                      const std::string& aDetail) override
  {
    m_lines.push_back(std::string(aWhat) + " " + aDetail);
  }
  void LogDetail(std::string_view /*aWhat*/,
                 const std::string& /*aDetail*/) override
  {
  }
  bool LogsDetails() const override { return false; }

  /// Largest number within a second.
  std::size_t Most() const
  {
    std::size_t most = 0;
    for (auto first = m_sent.begin(), last = first; last != m_sent.end();) {
      while (*last - *first >= 1s) {
        ++first;
      }
      ++last;
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

  base::Instant m_now;
  std::vector<base::Instant> m_sent;
  std::vector<std::string> m_lines;
};

/// Packets in a second that 4 hosts send to a cold server with the limit 10.
/// They know each other for a second and never again; each gets 50 new flows a
/// second with two copies of each opening packet, which nobody answers.
ColdCounter
RunIsolatedHosts(bool aHasWarmServer, double aColdPerS, bool aSlowStart = true)
{
  constexpr std::uint32_t kHosts = 4;
  ColdCounter counter;
  platform::DatagramCodec codec;
  token::TokenHostIdentity identity{
    "h", "a", 8172, 4s, { .m_slowStart = aSlowStart }
  };
  std::deque<token::TokenHost> hosts;
  registry::Server cold = MakeServer("i-1");
  cold.m_coldRemaining = 60s;
  registry::Fact configuration = ConfigurationFact(1, 1);
  std::get<registry::Configuration>(configuration.m_content).m_services = {
    { "desk", aColdPerS }
  };
  registry::Page page{ { configuration, ServerFact(cold, 5) }, "", 10 };
  if (aHasWarmServer) {
    page.m_facts.push_back(ServerFact(MakeServer("i-2"), 5));
  }
  for (std::uint32_t i = 0; i < kHosts; ++i) {
    token::TokenHost& host = hosts.emplace_back(
      identity, registry::ReaderTiming{}, i + 1, codec, counter);
    host.NextCall(At(0));
    host.OnListAnswer(page, At(0));
    host.NextCall(At(0));
    host.OnWatchAnswer(registry::Changes{ {}, 10 }, At(0));
  }
  std::uint16_t port = 1024;
  for (int step = 0; step < 1000; ++step) {
    counter.m_now = At(step * 0.02);
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      hosts[i].SetZoneHosts(
        step < 50 ? HostPosition{ kHosts, i } : HostPosition{}, counter.m_now);
      hosts[i].OnTick(counter.m_now);
      Sent sent;
      for (const int back : { 0, 10, 30 }) {
        sent.m_acknowledged = back == 0 ? 0 : (back == 10 ? 1 : 2);
        sent.m_callerPort = static_cast<std::uint16_t>(port - back * kHosts);
        hosts[i].OnPacket(Write(sent), counter.m_now);
      }
      ++port;
    }
  }
  return counter;
}

} // namespace

/// Hosts that cannot hear each other must stay within the limit together, also
/// with the copies of opening packets.
TEST(ColdServers, GetAtMostTheirAllowanceFromIsolatedHosts)
{
  for (const bool hasWarmServer : { true, false }) {
    const ColdCounter counter = RunIsolatedHosts(hasWarmServer, 10);
    EXPECT_LE(counter.Most(), 20U) << hasWarmServer;
    EXPECT_GT(counter.m_sent.size(), 20U) << hasWarmServer;
  }
  Section("without a limit they get as many flows as without slow start", [&] {
    for (const bool hasWarmServer : { true, false }) {
      EXPECT_EQ(RunIsolatedHosts(hasWarmServer, 0).m_sent,
                RunIsolatedHosts(hasWarmServer, 0, false).m_sent);
    }
  });
}

/// An operator must see why a server gets few flows.
TEST(SlowStart, LogsTheBeginOfARamp)
{
  ColdCounter effects;
  platform::DatagramCodec codec;
  token::TokenHost host{
    { "h", "a", 8172, 4s, { .m_slowStart = true } }, {}, 1, codec, effects
  };
  const registry::Page page{
    { ConfigurationFact(1, 1), ServerFact(MakeServer("i-2"), 5) }, "", 10
  };
  host.NextCall(At(0));
  host.OnListAnswer(page, At(0));
  host.NextCall(At(0));
  host.OnWatchAnswer(registry::Changes{ {}, 10 }, At(0));
  host.NextCall(At(1));
  host.OnWatchAnswer(
    registry::Changes{ { ServerFact(MakeServer("i-1"), 11) }, 11 }, At(1));
  host.OnPacket(Write({}), At(1));
  effects.m_lines.clear();
  host.OnTick(At(1.05));
  ASSERT_EQ(effects.m_lines.size(), 1U);
  EXPECT_TRUE(effects.m_lines[0].starts_with("ramp_began server=i-1 token="));
  EXPECT_NE(effects.m_lines[0].find(" cause=started failures=0 share=0.1"),
            std::string::npos);
}

/// A server that recovers must be neither flooded nor left idle.
TEST(ServiceLoad, RampsUpAServerThatStarts)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ServiceLoad load(Shape(true, 300), { { "a", 5 } }, seed);
    load.RunFor(3s);
    load.RestartServer(1);
    std::vector<double> shares;
    for (int step = 0; step < 8; ++step) {
      int others = 0;
      for (int server = 1; server <= 5; ++server) {
        load.TakeServerCounts(server);
      }
      load.RunFor(1s);
      for (int server = 2; server <= 5; ++server) {
        others += load.TakeServerCounts(server).m_openings;
      }
      shares.push_back(load.TakeServerCounts(1).m_openings * 4.0 / others);
    }
    EXPECT_LT(shares[0], 0.5) << "flooded, seed " << seed;
    EXPECT_GT(shares[0], 0.02) << "idle, seed " << seed;
    EXPECT_GT(shares[4], 0.75) << "seed " << seed;
    EXPECT_EQ(load.TakeCounts().m_failed, 0) << "seed " << seed;
  }
}

/// A server that hung must come back to its full share without a restart, and
/// at the latest when its suspicion, which doubles, has run out.
TEST(ServiceLoad, RampsUpAServerThatIsHeardAgain)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ServiceLoad load(Shape(true, 300), { { "a", 5 } }, seed);
    load.RunFor(3s);
    load.SetServer(1, ServerMode::Dark);
    load.RunFor(3s);
    load.SetServer(1, ServerMode::Normal);
    load.TakeCounts();
    load.RunFor(6s);
    for (int server = 1; server <= 5; ++server) {
      load.TakeServerCounts(server);
    }
    load.RunFor(2s);
    int others = 0;
    for (int server = 2; server <= 5; ++server) {
      others += load.TakeServerCounts(server).m_openings;
    }
    EXPECT_GT(load.TakeServerCounts(1).m_openings * 4.0 / others, 0.75)
      << "seed " << seed;
    EXPECT_EQ(load.TakeCounts().m_failed, 0) << "seed " << seed;
  }
}

/// Half of the servers return and are slow for a second: callers must not wait
/// in their queues.
TEST(ServiceLoad, DoesNotFloodServersThatReturnTogether)
{
  std::map<bool, LoadCounts> counts;
  std::map<bool, int> peak;
  for (const bool slowStart : { false, true }) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ServiceLoad load(Shape(slowStart, 350), { { "a", 8 } }, seed);
      load.RunFor(3s);
      for (int server = 1; server <= 4; ++server) {
        load.SetServer(server, ServerMode::Dark);
      }
      load.RunFor(4s);
      load.TakeCounts();
      for (int server = 1; server <= 4; ++server) {
        // Caches are empty: a request takes longer at first.
        load.SetServer(server, ServerMode::Normal, 5);
        load.RestartServer(server);
        load.TakeServerCounts(server);
      }
      load.RunFor(1s);
      for (int server = 1; server <= 4; ++server) {
        load.SetServer(server, ServerMode::Normal);
        peak[slowStart] =
          std::max(peak[slowStart], load.TakeServerCounts(server).m_peak);
      }
      load.RunFor(4s);
      const LoadCounts one = load.TakeCounts();
      counts[slowStart].m_inAim += one.m_inAim;
      counts[slowStart].m_late += one.m_late;
      counts[slowStart].m_failed += one.m_failed;
    }
  }
  EXPECT_LT(counts[true].m_late, counts[false].m_late);
  EXPECT_LE(counts[true].m_failed, counts[false].m_failed);
}

/// With the part on but without cause, each decision is the same.
TEST(ServiceLoad, IsServedAsWithoutSlowStartWhileNoServerFails)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ServiceLoad with(Shape(true), { { "a", 8 }, { "b", 4 } }, seed);
    ServiceLoad without(Shape(false), { { "a", 8 }, { "b", 4 } }, seed);
    with.RunFor(20s);
    without.RunFor(20s);
    EXPECT_EQ(with.TakeCounts(), without.TakeCounts()) << "seed " << seed;
    for (int server = 1; server <= 12; ++server) {
      EXPECT_EQ(with.TakeServerCounts(server), without.TakeServerCounts(server))
        << "seed " << seed;
    }
  }
}

/// Each time a flapping server returns it gets less, and callers lose less.
TEST(ServiceLoad, GivesAFlappingServerLessEachTime)
{
  std::map<bool, int> failed;
  std::map<bool, int> unanswered;
  std::vector<int> openings(4);
  for (const bool slowStart : { false, true }) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ServiceLoad load(Shape(slowStart, 200), { { "a", 5 } }, seed);
      load.RunFor(3s);
      load.TakeCounts();
      for (std::size_t round = 0; round < 4; ++round) {
        load.SetServer(1, ServerMode::Dark);
        load.RunFor(3s);
        load.RestartServer(1);
        load.SetServer(1, ServerMode::Normal);
        unanswered[slowStart] += load.TakeServerCounts(1).m_unanswered;
        load.RunFor(6s);
        const int opened = load.TakeServerCounts(1).m_openings;
        openings[round] += slowStart ? opened : 0;
        load.SetServer(1, ServerMode::Refusing);
        load.RunFor(2s);
        unanswered[slowStart] += load.TakeServerCounts(1).m_unanswered;
      }
      failed[slowStart] += load.TakeCounts().m_failed;
    }
  }
  EXPECT_LT(failed[true], failed[false]);
  EXPECT_LT(unanswered[true], unanswered[false]);
  for (std::size_t round = 1; round < openings.size(); ++round) {
    EXPECT_LT(openings[round], openings[round - 1]) << round;
  }
}

/// At even work, servers must be equally busy relative to their own speeds.
TEST(ServiceLoad, KeepsServersOfUnequalSpeedsEquallyBusy)
{
  const std::array<double, 3> speeds = { 0.7, 0.7, 1.7 };
  for (const double load : { 50.0, 100.0, 200.0, 400.0, 500.0 }) {
    std::array<base::Duration, 3> busy{};
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ServiceLoad service(Shape(true, load), { { "a", 6 } }, seed);
      for (int server = 1; server <= 6; ++server) {
        service.SetServer(
          server, ServerMode::Normal, 1 / speeds.at((server - 1) % 3));
      }
      service.RunFor(5s);
      for (int server = 1; server <= 6; ++server) {
        service.TakeServerCounts(server);
      }
      service.RunFor(20s);
      for (int server = 1; server <= 6; ++server) {
        busy.at((server - 1) % 3) += service.TakeServerCounts(server).m_busy;
      }
    }
    const auto [least, most] = std::ranges::minmax(busy);
    EXPECT_LT(most - least, most * 0.15) << load;
  }
}

} // namespace wasabiloom::tests
