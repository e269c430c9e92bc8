#include "support/FleetNet.h"
#include "support/FleetStart.h"
#include "support/Section.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using namespace std::chrono_literals;

namespace {

/// The targets for a fleet that starts at once, less a host's own work.
constexpr base::Duration kMedian = 150ms;
constexpr base::Duration kMost = 250ms;
constexpr base::Duration kAll = 400ms;

/// A host that nobody tells anything lists the registry after 0.4 s at the
/// latest; its link then takes a third of a second.
constexpr base::Duration kAlone = 1s;

void
ExpectTargets(const StartTimes& aTimes)
{
  EXPECT_EQ(aTimes.m_unready, 0U);
  EXPECT_LE(aTimes.m_median, kMedian);
  EXPECT_LE(aTimes.m_most, kMost);
  EXPECT_LE(aTimes.m_slowest, kAll);
}

} // namespace

TEST(FleetStart, IsSoonOverInFleetsOfAnySize)
{
  for (const std::size_t hosts : { 9U, 90U, 232U }) {
    auto net = MakeStartingFleet(hosts, 1);
    ExpectTargets(StartAtOnce(*net, hosts));
    EXPECT_LE(net->Listings(), 3U * fleet::kListersABoard) << hosts;
  }
}

TEST(FleetStart, OutlivesLossAndDeadTellers)
{
  constexpr std::size_t kHosts = 232;
  Section("one datagram in a hundred is lost", [] {
    auto net = MakeStartingFleet(kHosts, 2);
    net->m_loss = 0.01;
    ExpectTargets(StartAtOnce(*net, kHosts));
  });
  Section("capable hosts die as soon as they are ready", [] {
    auto net = MakeStartingFleet(kHosts, 3);
    const auto times = StartAtOnce(*net, kHosts, [&](std::size_t aHost) {
      if (IsCapable(aHost) && aHost >= 3 && net->TimeToReady(aHost)) {
        net->Kill(aHost);
      }
    });
    EXPECT_EQ(times.m_unready, 0U);
    EXPECT_LE(times.m_slowest, kAlone);
  });
  Section("they stand still instead", [] {
    auto net = MakeStartingFleet(kHosts, 4);
    const auto times = StartAtOnce(*net, kHosts, [&](std::size_t aHost) {
      if (IsCapable(aHost) && aHost >= 3 && net->TimeToReady(aHost)) {
        net->Freeze(aHost);
      }
    });
    EXPECT_EQ(times.m_unready, 0U);
    EXPECT_LE(times.m_slowest, kAlone);
  });
}

TEST(FleetStart, NeedsNeitherSeedsNorAll)
{
  constexpr std::size_t kHosts = 90;
  Section("without the seeds each lists for itself", [] {
    auto net = MakeStartingFleet(kHosts, 5);
    const auto times = StartAtOnce(*net, kHosts, [&](std::size_t aHost) {
      if (aHost < 3) {
        net->Freeze(aHost);
      }
    });
    EXPECT_EQ(times.m_unready, 0U);
  });
  Section("a registry that answers one host in ten is enough", [] {
    auto net = MakeStartingFleet(kHosts, 6);
    net->m_silent = [](std::size_t aHost) { return aHost % 10 != 5; };
    const auto times = StartAtOnce(*net, kHosts);
    EXPECT_EQ(times.m_unready, 0U);
    EXPECT_LE(times.m_slowest, 2s);
  });
  Section("a zone that is cut off, with the registry", [] {
    auto net = MakeStartingFleet(kHosts, 7);
    net->m_cut = [](std::size_t aFrom, std::size_t aTo) {
      return (aFrom % 5 == 4) != (aTo % 5 == 4);
    };
    const auto times = StartAtOnce(*net, kHosts);
    EXPECT_EQ(times.m_unready, 0U);
    EXPECT_LE(times.m_slowest, kAlone);
  });
}

} // namespace wasabiloom::tests
