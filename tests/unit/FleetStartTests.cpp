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

/// The seeds start so long after the others.
constexpr base::Duration kSeedsLate = 300ms;

/// Calls that time out come before those that find one who was answered.
constexpr base::Duration kFewAnswered = 2s;

/// All listings together pass the registry's one link.
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

TEST(FleetStart, IsSoonOverInFleetsOfAnySize)
{
  for (const std::size_t hosts : { 9U, 90U, 232U }) {
    auto net = MakeStartingFleet(hosts, 1);
    ExpectTargets(StartAtOnce(*net, hosts));
    EXPECT_LE(net->Listings(), 3U * fleet::kMaxListersPerDirectory) << hosts;
  }
}

TEST(FleetStart, OutlivesEachTrouble)
{
  constexpr std::size_t kHosts = 232;
  const auto start = [](StartTrouble aTrouble) {
    auto net = MakeStartingFleet(kHosts, 2);
    StartTimes times = StartAtOnce(*net, kHosts, aTrouble);
    EXPECT_EQ(times.m_unready, 0U) << ToString(aTrouble);
    return times;
  };
  Section("lost datagrams change nothing",
          [&] { ExpectTargets(start(StartTrouble::Loss)); });
  Section("tellers that die or freeze are given up", [&] {
    EXPECT_LE(start(StartTrouble::TellersDie).m_slowest, kAlone);
    EXPECT_LE(start(StartTrouble::TellersFreeze).m_slowest, kAlone);
  });
  Section("a zone that is cut off helps itself",
          [&] { EXPECT_LE(start(StartTrouble::ZoneCut).m_slowest, kAlone); });
  Section("few whom the registry answers are enough", [&] {
    EXPECT_LE(start(StartTrouble::FewAnswered).m_slowest, kFewAnswered);
  });
  Section("seeds that start late are told of tellers at once", [&] {
    EXPECT_LE(start(StartTrouble::SeedsLate).m_slowest, kSeedsLate + kAll);
  });
  Section("without seeds each lists for itself", [&] {
    EXPECT_LE(start(StartTrouble::SeedsFreeze).m_slowest, kAllAlone);
  });
}

} // namespace wasabiloom::tests
