#include "support/Registry.h"
#include "support/Section.h"
#include "wasabiloom/base/Hash.h"
#include "wasabiloom/placing/LatencyTracker.h"
#include "wasabiloom/placing/PassiveHealthCheck.h"
#include "wasabiloom/placing/Placement.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace wasabiloom::tests {

using namespace placing;
using std::chrono::milliseconds;

namespace {

/// Servers without load, with tokens 1 to `aCount`, all in the host's zone.
std::vector<Candidate>
Calm(std::uint32_t aCount)
{
  std::vector<Candidate> candidates;
  for (std::uint32_t token = 1; token <= aCount; ++token) {
    Candidate candidate;
    candidate.m_token = token;
    candidate.m_slots = 2;
    candidate.m_sameZone = true;
    candidate.m_latency = milliseconds(25);
    candidates.push_back(candidate);
  }
  return candidates;
}

std::uint32_t
Chosen(const std::vector<Candidate>& aCandidates, std::uint32_t aAvoid = 0)
{
  const auto placement = Place(aCandidates, aAvoid, 42);
  return placement ? placement->m_token : 0;
}

} // namespace

TEST(Place, ReturnsNothingWithoutCandidates)
{
  EXPECT_FALSE(Place({}, 0, 1));
}

TEST(Place, SelectsTheServerWithTheLeastLoad)
{
  auto servers = Calm(3);
  Section("a server without requests in progress is preferred", [&] {
    servers[0].m_activeRequests = 1;
    servers[2].m_activeRequests = 2;
    EXPECT_EQ(Chosen(servers), 2U);
  });
  Section("load is relative to the number of slots", [&] {
    servers[1].m_activeRequests = 1;
    servers[2].m_slots = 8;
    EXPECT_EQ(Chosen(servers), 3U);
  });
  Section("an open flow counts as a twentieth of a request", [&] {
    auto idle = Calm(2);
    idle[0].m_openFlows = 15;
    idle[1].m_activeRequests = 1;
    EXPECT_EQ(Chosen(idle), 1U);
    idle[0].m_openFlows = 25;
    EXPECT_EQ(Chosen(idle), 2U);
  });
  Section("slow responses count as load", [&] {
    auto slow = Calm(3);
    slow[0].m_latency = milliseconds(110);
    slow[1].m_activeRequests = 2;
    slow[2].m_activeRequests = 4;
    EXPECT_EQ(Chosen(slow), 2U);
  });
}

TEST(Place, StaysInTheZoneUnlessAnotherHasMuchLessLoad)
{
  auto servers = Calm(2);
  servers[1].m_sameZone = false;
  servers[0].m_activeRequests = 2;
  EXPECT_EQ(Chosen(servers), 1U);
  servers[0].m_activeRequests = 3;
  EXPECT_EQ(Chosen(servers), 2U);
}

TEST(Place, AvoidsSuspectAndColdServersWhileThereAreOthers)
{
  auto servers = Calm(3);
  servers[0].m_suspect = true;
  servers[1].m_cold = true;
  servers[2].m_activeRequests = 9;
  EXPECT_EQ(Chosen(servers), 3U);

  Section("a cold server is preferred to a suspect one", [&] {
    servers.pop_back();
    const auto placement = Place(servers, 0, 1);
    EXPECT_EQ(placement->m_token, 2U);
    EXPECT_EQ(placement->m_reason, PlaceReason::OnlyCold);
  });
  Section("a suspect server is used if there is no other", [&] {
    servers.pop_back();
    const auto placement = Place(servers, 0, 1);
    EXPECT_EQ(placement->m_token, 1U);
    EXPECT_EQ(placement->m_reason, PlaceReason::OnlySuspect);
  });
  Section("the server to avoid is used only if there is no other", [&] {
    auto two = Calm(2);
    two[1].m_activeRequests = 50;
    EXPECT_EQ(Chosen(two, 1), 2U);
    two.pop_back();
    EXPECT_EQ(Chosen(two, 1), 1U);
  });
}

TEST(Place, SpreadsFlowsEvenlyOverServersOfEqualLoad)
{
  const auto servers = Calm(10);
  std::map<std::uint32_t, int> counts;
  for (std::uint64_t flow = 0; flow < 10'000; ++flow) {
    ++counts[Place(servers, 0, base::Mix(flow + 1))->m_token];
  }
  for (const auto& [token, count] : counts) {
    EXPECT_NEAR(count, 1000, 150) << token;
  }
}

/// Simulates two hosts of one zone that don't see each other's flows and place
/// requests of 25 ms on five servers, at two thirds of the servers' capacity.
TEST(Place, BalancesLoadAcrossServers)
{
  struct Request
  {
    int m_until;
    std::size_t m_host;
    std::size_t m_server;
  };
  constexpr std::size_t kServers = 5;
  constexpr int kWorkMs = 25;
  std::array<std::vector<Candidate>, 2> views = { Calm(kServers),
                                                  Calm(kServers) };
  std::array<int, kServers> total{};
  std::vector<Request> running;
  int placed = 0;
  for (int now = 0; now < 30'000; ++now) {
    std::erase_if(running, [&](const Request& aRequest) {
      const bool ends = aRequest.m_until <= now;
      views[aRequest.m_host][aRequest.m_server].m_activeRequests -=
        ends ? 1 : 0;
      return ends;
    });
    const bool arrives =
      base::Mix(static_cast<std::uint64_t>(now) + 1) % 4 == 0;
    if (!arrives) {
      continue;
    }
    const std::size_t host = placed % views.size();
    const auto hash = base::Mix(static_cast<std::uint64_t>(now) + 77);
    const std::size_t server = Place(views[host], 0, hash)->m_token - 1;
    ++views[host][server].m_activeRequests;
    ++total[server];
    ++placed;
    running.push_back({ now + kWorkMs, host, server });
  }
  const int busiest = *std::ranges::max_element(total);
  EXPECT_LE(busiest * static_cast<double>(kServers) / placed, 1.08);
}

TEST(LatencyTracker, AveragesSamplesUntilTheyExpire)
{
  LatencyTracker book;
  EXPECT_EQ(book.AverageFor(1, At(0)), base::Duration::zero());
  book.AddSample(1, milliseconds(20), At(0));
  EXPECT_EQ(book.AverageFor(1, At(0)), milliseconds(20));
  for (int i = 0; i < 40; ++i) {
    book.AddSample(1, milliseconds(100), At(0.1));
  }
  EXPECT_GT(book.AverageFor(1, At(0.1)), milliseconds(95));
  EXPECT_EQ(book.AverageFor(1, At(9)), base::Duration::zero());
  book.AddSample(1, milliseconds(30), At(9));
  EXPECT_EQ(book.AverageFor(1, At(9)), milliseconds(30));
}

TEST(PassiveHealthCheck, RemovesServersWithoutRecentEvents)
{
  PassiveHealthCheck suspicion;
  suspicion.OnOpeningRetransmitted(1, At(0));
  suspicion.OnResponse(2, At(0));
  suspicion.OnResponse(3, At(25));
  suspicion.Sweep(At(20));
  EXPECT_EQ(suspicion.Size(), 3U);
  suspicion.Sweep(At(40));
  EXPECT_EQ(suspicion.Size(), 1U);
  EXPECT_EQ(suspicion.LastResponseAt(3), At(25));
}

TEST(PassiveHealthCheck, LastsLongerEachTimeAndEndsWithAResponse)
{
  PassiveHealthCheck suspicion;
  EXPECT_FALSE(suspicion.IsSuspect(1, At(0)));
  suspicion.OnOpeningRetransmitted(1, At(0));
  EXPECT_TRUE(suspicion.IsSuspect(1, At(1)));
  EXPECT_FALSE(suspicion.IsSuspect(2, At(1)));

  Section("it expires, so that no server is excluded forever",
          [&] { EXPECT_FALSE(suspicion.IsSuspect(1, At(2))); });
  Section("a further suspicion lasts longer", [&] {
    suspicion.OnOpeningRetransmitted(1, At(2));
    EXPECT_TRUE(suspicion.IsSuspect(1, At(4.5)));
    EXPECT_FALSE(suspicion.IsSuspect(1, At(5.5)));
  });
  Section("a response from the server ends it at once", [&] {
    suspicion.OnOpeningRetransmitted(1, At(6));
    suspicion.OnResponse(1, At(6.1));
    EXPECT_FALSE(suspicion.IsSuspect(1, At(6.1)));
    EXPECT_EQ(suspicion.LastResponseAt(1), At(6.1));
  });
  Section("two retransmissions of data raise it, one does not", [&] {
    suspicion.OnDataRetransmitted(1, At(7));
    EXPECT_FALSE(suspicion.IsSuspect(1, At(7)));
    suspicion.OnDataRetransmitted(1, At(7.1));
    EXPECT_TRUE(suspicion.IsSuspect(1, At(7.1)));
  });
}

} // namespace wasabiloom::tests
