#include "support/FleetNet.h"
#include "support/FleetStart.h"
#include "support/Section.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using namespace std::chrono_literals;

namespace {

/// Targets for a fleet that starts at once: time until the median host, nine
/// tenths of the hosts and all hosts are ready, minus the time for the work of
/// the host itself.
constexpr base::Duration kMedian = 150ms;
constexpr base::Duration kMost = 250ms;
constexpr base::Duration kAll = 400ms;

/// A host that gets no facts from other hosts lists the registry after 0.4 s at
/// the latest; the listing then takes a third of a second on its link.
constexpr base::Duration kAlone = 1s;

/// Time by which the seeds start after the other hosts.
constexpr base::Duration kSeedsLate = 300ms;

/// Hosts may wait for calls that time out before they find a host that the
/// registry has answered.
constexpr base::Duration kFewAnswered = 2s;

/// All listings together share the single link of the registry.
constexpr base::Duration kAllAlone = 2s;

void
ExpectTargets(const StartTimes& aTimes)
{
  EXPECT_EQ(aTimes.m_unready, 0U);
  EXPECT_LE(aTimes.m_median, kMedian);
  EXPECT_LE(aTimes.m_most, kMost);
  EXPECT_LE(aTimes.m_slowest, kAll);
}

} // namespace

TEST(FleetStart, MeetsTheTargetsInFleetsOfAnySize)
{
  for (const std::size_t hosts : { 9U, 90U, 232U }) {
    auto net = MakeStartingFleet(hosts, 1);
    ExpectTargets(StartAtOnce(*net, hosts));
    EXPECT_LE(net->Listings(), 3U * fleet::kMaxListersPerDirectory) << hosts;
  }
}

TEST(FleetStart, MakesAllHostsReadyDespiteEachFault)
{
  constexpr std::size_t kHosts = 232;
  const auto start = [](StartTrouble aTrouble) {
    auto net = MakeStartingFleet(kHosts, 2);
    StartTimes times = StartAtOnce(*net, kHosts, aTrouble);
    EXPECT_EQ(times.m_unready, 0U) << ToString(aTrouble);
    return times;
  };
  Section("the targets are met when datagrams are lost",
          [&] { ExpectTargets(start(StartTrouble::Loss)); });
  Section("providers that die or freeze are given up", [&] {
    EXPECT_LE(start(StartTrouble::TellersDie).m_slowest, kAlone);
    EXPECT_LE(start(StartTrouble::TellersFreeze).m_slowest, kAlone);
  });
  Section("a zone that is cut off from the others becomes ready by itself",
          [&] { EXPECT_LE(start(StartTrouble::ZoneCut).m_slowest, kAlone); });
  Section("it is enough that the registry answers one host in ten", [&] {
    EXPECT_LE(start(StartTrouble::FewAnswered).m_slowest, kFewAnswered);
  });
  Section("seeds that start late learn of providers at once", [&] {
    EXPECT_LE(start(StartTrouble::SeedsLate).m_slowest, kSeedsLate + kAll);
  });
  Section("without seeds each host lists the registry itself", [&] {
    EXPECT_LE(start(StartTrouble::SeedsFreeze).m_slowest, kAllAlone);
  });
}

} // namespace wasabiloom::tests
