#include "support/Registry.h"
#include "support/Section.h"
#include "wasabiloom/registry/RouteTable.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using registry::Configuration;
using registry::FactOutcome;
using registry::Origin;
using registry::Route;
using registry::RouteTable;

namespace {

Route
RouteAt(const std::string& aAddress, const std::string& aService = "desk")
{
  return { "r" + aAddress,
           *base::ParseEndpoint(aAddress),
           { { aService, 1 } } };
}

Configuration
Version(std::uint64_t aVersion, std::vector<Route> aRoutes)
{
  return { aVersion, std::move(aRoutes), { { "desk", 0 } }, {} };
}

/// Applies to `aTo` what changed in `aFrom` after `aRevision`.
void
Bring(const RouteTable& aFrom, std::uint64_t aRevision, RouteTable& aTo)
{
  std::vector<registry::Fact> facts;
  aFrom.AppendChanges(aRevision, facts);
  for (const auto& fact : facts) {
    if (const auto* whole = std::get_if<Configuration>(&fact.m_content)) {
      aTo.Adopt(*whole, fact.m_revision, Origin::Peer, At(0));
    } else if (const auto* terms =
                 std::get_if<registry::GlobalConfiguration>(&fact.m_content)) {
      aTo.Adopt(*terms, fact.m_revision);
    } else if (const auto* route = std::get_if<Route>(&fact.m_content)) {
      aTo.Adopt(*route, fact.m_revision);
    } else {
      aTo.Remove(*base::ParseEndpoint(fact.m_name), fact.m_revision, At(0));
    }
  }
}

const Route kFirst = RouteAt("198.18.0.1:80");
const Route kSecond = RouteAt("198.18.0.2:80");
const Route kThird = RouteAt("198.18.0.3:80");

} // namespace

TEST(RouteTable, AppendsOnlyWhatChangedSinceARevision)
{
  RouteTable here;
  here.Adopt(Version(1, { kFirst, kSecond }), 10, Origin::Watch, At(0));
  RouteTable there;
  there.Adopt(Version(1, { kFirst, kSecond }), 10, Origin::Watch, At(0));
  here.Adopt(Version(2, { kSecond, kThird }), 20, Origin::Watch, At(1));

  std::vector<registry::Fact> facts;
  here.AppendChanges(10, facts);
  EXPECT_EQ(facts.size(), 3U)
    << "global configuration, one new route and one removed route";
  Bring(here, 10, there);
  EXPECT_EQ(there.FullConfiguration(), here.FullConfiguration());
  EXPECT_EQ(there.Find(kFirst.m_address), nullptr);

  Section("nothing changed since the current revision", [&] {
    facts.clear();
    here.AppendChanges(20, facts);
    EXPECT_TRUE(facts.empty());
  });
}

TEST(RouteTable, NeverReturnsToOlderRoutesWhateverTheSender)
{
  RouteTable old;
  old.Adopt(Version(1, { kFirst, kSecond }), 10, Origin::Watch, At(0));
  RouteTable young;
  young.Adopt(Version(1, { kFirst, kSecond }), 10, Origin::Watch, At(0));
  const Route moved = RouteAt("198.18.0.2:80", "scan");
  young.Adopt(Version(2, { kFirst, moved }), 20, Origin::Watch, At(1));
  young.Adopt(Version(3, { moved, kThird }), 30, Origin::Watch, At(2));

  RouteTable there;
  Bring(young, 0, there);
  const Configuration latest = there.FullConfiguration();
  Bring(old, 0, there);
  EXPECT_EQ(there.Global().m_version, 3U);
  EXPECT_EQ(*there.Find(moved.m_address), moved)
    << "an older sender's route must not replace a newer one";
  EXPECT_EQ(there.Adopt(Version(2, { kFirst }), 40, Origin::Watch, At(3)),
            FactOutcome::Stale);
  EXPECT_EQ(there.Find(kFirst.m_address), nullptr);
  EXPECT_EQ(there.FullConfiguration(), latest);
}

TEST(RouteTable, AppendsUnchangedRoutesWhoseHistoryIsUnknown)
{
  // Version 2 lacked a route that versions 1 and 3 have. A host that missed
  // version 2 sees an unchanged route in version 3, but must still send it:
  // another host may have seen the removal.
  RouteTable teller;
  teller.Adopt(Version(1, { kFirst, kSecond }), 10, Origin::Watch, At(0));
  RouteTable there = teller;
  there.Adopt(Version(2, { kFirst }), 20, Origin::Watch, At(1));
  for (const Origin origin : { Origin::Listing, Origin::Peer }) {
    RouteTable late = teller;
    late.Adopt(Version(3, { kFirst, kSecond }), 30, origin, At(2));
    RouteTable told = there;
    Bring(late, 20, told);
    EXPECT_EQ(told.FullConfiguration(), late.FullConfiguration());
  }
}

TEST(RouteTable, ReturnsTheLatestRevisionOfDroppedRemovals)
{
  RouteTable table;
  table.Adopt(Version(1, { kFirst, kSecond }), 10, Origin::Watch, At(0));
  table.Adopt(Version(2, { kSecond }), 20, Origin::Watch, At(5));
  EXPECT_EQ(table.Forget(At(5)), 0U);
  EXPECT_EQ(table.Forget(At(6)), 20U);
  EXPECT_EQ(table.Forget(At(7)), 0U);
}

TEST(RouteTable, UsesTheFirstOfTwoRoutesAtOneAddress)
{
  RouteTable table;
  const Route other = RouteAt("198.18.0.1:80", "scan");
  table.Adopt(Version(1, { kFirst, other }), 10, Origin::Watch, At(0));
  EXPECT_EQ(*table.Find(kFirst.m_address), kFirst);
}

TEST(RouteTable, AppendsTheWholeVersionWhereEarlierOnesWereMissed)
{
  // Guards against routes of a version that one host missed and another has:
  // the first can't name those that were dropped since.
  RouteTable late;
  late.Adopt(Version(3, { kThird }), 30, Origin::Listing, At(0));
  RouteTable there;
  there.Adopt(Version(2, { kFirst }), 20, Origin::Watch, At(0));
  Bring(late, 20, there);
  EXPECT_EQ(there.FullConfiguration(), late.FullConfiguration());

  Section("routes of an older revision tell nothing to a whole version", [&] {
    EXPECT_EQ(there.Adopt(kSecond, 25), FactOutcome::Stale);
    EXPECT_EQ(there.Remove(kThird.m_address, 25, At(1)), FactOutcome::Stale);
  });
}

TEST(RouteTable, AppendsASecondRemovalWhoseFirstIsKnown)
{
  // Guards against a route that stays for ever: it came back and was removed
  // again while the sender knew only of the first removal.
  RouteTable sender;
  sender.Adopt(Version(1, { kFirst, kSecond }), 10, Origin::Listing, At(0));
  sender.Adopt(Version(2, { kFirst }), 20, Origin::Watch, At(0));
  sender.Adopt(registry::GlobalConfiguration{ 4, {}, {} }, 40);
  EXPECT_EQ(sender.Remove(kSecond.m_address, 40, At(1)),
            FactOutcome::Unchanged);
  sender.NoteComplete();
  RouteTable there;
  there.Adopt(Version(3, { kFirst, kSecond }), 30, Origin::Listing, At(0));
  Bring(sender, 30, there);
  EXPECT_EQ(there.Find(kSecond.m_address), nullptr);
}

TEST(RouteTable, ComparesTheRoutesOfAKnownVersion)
{
  // Guards against a route that stays for ever on a host that has put the
  // version together from parts.
  RouteTable table;
  table.Adopt(Version(1, { kFirst, kSecond }), 10, Origin::Peer, At(0));
  table.Adopt(registry::GlobalConfiguration{ 2, {}, {} }, 20);
  EXPECT_EQ(table.Adopt(Version(2, { kFirst }), 20, Origin::Listing, At(1)),
            FactOutcome::Adopted);
  EXPECT_EQ(table.Find(kSecond.m_address), nullptr);
  EXPECT_EQ(table.Adopt(Version(2, { kFirst }), 20, Origin::Listing, At(2)),
            FactOutcome::Unchanged);
}

} // namespace wasabiloom::tests
