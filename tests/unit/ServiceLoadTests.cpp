#include "support/Section.h"
#include "support/ServiceLoad.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 5;

} // namespace

TEST(ServiceLoad, ServesAllRequestsInTheirAimWithoutFaults)
{
  ServiceLoad load({}, { { "a", 5 }, { "b", 5 } }, 1);
  load.RunFor(10s);
  const LoadCounts counts = load.TakeCounts();
  EXPECT_EQ(counts.m_failed, 0);
  EXPECT_EQ(counts.m_late, 0);
  EXPECT_GT(counts.m_inAim, 900);
}

/// Servers whose process has ended reset opening packets, which only the caller
/// sees. They have no requests in progress, so they must not look like the
/// servers with the least load.
TEST(ServiceLoad, LosesFewRequestsToServersThatRefuseThem)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ServiceLoad load({}, { { "a", 5 }, { "b", 5 } }, seed);
    load.RunFor(5s);
    load.TakeCounts();

    Section("one of five servers refuses", [&] {
      load.SetServer(1, ServerMode::Refusing);
      load.RunFor(2s);
      EXPECT_LE(load.TakeCounts().m_failed, 2) << "seed " << seed;
    });
    Section("all servers of the zone refuse: callers lose what they try before "
            "other zones are preferred",
            [&] {
              for (int server = 1; server <= 5; ++server) {
                load.SetServer(server, ServerMode::Refusing);
              }
              load.RunFor(2s);
              EXPECT_LE(load.TakeCounts().m_failed, 20) << "seed " << seed;
            });
    Section("they get requests again when they accept them", [&] {
      for (int server = 1; server <= 5; ++server) {
        load.SetServer(server, ServerMode::Normal);
      }
      load.RunFor(4s);
      load.TakeCounts();
      load.RunFor(2s);
      EXPECT_EQ(load.TakeCounts().m_failed, 0) << "seed " << seed;
    });
  }
}

/// More than half of the servers turn slow, so that the median response time is
/// that of a slow server.
TEST(ServiceLoad, AvoidsSlowServersThatAreTheMajority)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ServiceLoad load({}, { { "a", 5 } }, seed);
    for (int server = 1; server <= 3; ++server) {
      load.SetServer(server, ServerMode::Normal, 5);
    }
    load.RunFor(3s);
    load.TakeCounts();
    load.RunFor(10s);
    const LoadCounts counts = load.TakeCounts();
    EXPECT_EQ(counts.m_failed, 0) << "seed " << seed;
    EXPECT_LE(counts.m_late, counts.m_inAim / 10) << "seed " << seed;
  }
}

TEST(ServiceLoad, LosesFewRequestsToServersThatFallDark)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ServiceLoad load({}, { { "a", 5 }, { "b", 5 } }, seed);
    load.RunFor(5s);
    load.TakeCounts();
    load.SetServer(1, ServerMode::Dark);
    load.RunFor(3s);
    const LoadCounts counts = load.TakeCounts();
    EXPECT_LE(counts.m_failed, 4) << "those in progress there, seed " << seed;
    EXPECT_LE(counts.m_late, 10) << "seed " << seed;
  }
}

} // namespace wasabiloom::tests
