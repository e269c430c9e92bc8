#include "support/Registry.h"
#include "support/Section.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <unordered_map>

namespace wasabiloom::tests {

using namespace std::chrono_literals;
using registry::FactKind;
using registry::FactOutcome;
using registry::MakeToken;
using registry::Origin;
using registry::Presence;
using registry::RegistryCache;
using registry::ServerState;

namespace {

registry::Server
Draining(registry::Server aServer)
{
  aServer.m_state = ServerState::Draining;
  return aServer;
}

const registry::ServerRecord&
Find(const RegistryCache& aCache, const registry::Server& aServer)
{
  const auto* belief =
    aCache.FindByToken(MakeToken(aServer.m_id, aServer.m_startId));
  EXPECT_NE(belief, nullptr);
  return *belief;
}

/// Returns two ids whose first starts have the same token.
std::pair<std::string, std::string>
FindCollidingIds()
{
  std::unordered_map<std::uint32_t, std::string> seen;
  for (std::uint64_t i = 0;; ++i) {
    const std::string id = "i-" + std::to_string(i);
    const auto [known, isNew] = seen.try_emplace(MakeToken(id, 1), id);
    if (!isNew) {
      return { known->second, id };
    }
  }
}

} // namespace

TEST(RegistryCache, IsCompleteOnceConfigurationAndListingAreReceived)
{
  RegistryCache beliefs;
  EXPECT_FALSE(beliefs.IsComplete());
  beliefs.EndListing(1, {}, At(0));
  EXPECT_FALSE(beliefs.IsComplete());
  beliefs.Apply(ConfigurationFact(2, 3), At(1));
  EXPECT_TRUE(beliefs.IsComplete());
}

TEST(RegistryCache, NeverReplacesAFactWithAnOlderOne)
{
  RegistryCache beliefs;
  EXPECT_EQ(beliefs.Apply(ConfigurationFact(5, 9), At(0)),
            FactOutcome::Adopted);
  Section("an older configuration version is stale, even at a newer revision",
          [&] {
            EXPECT_EQ(beliefs.Apply(ConfigurationFact(4, 10), At(1)),
                      FactOutcome::Stale);
            EXPECT_EQ(beliefs.CurrentGlobal().m_version, 5U);
          });
  Section("an older revision of a server entry is stale", [&] {
    const auto server = MakeServer("i-1");
    beliefs.Apply(ServerFact(Draining(server), 12), At(1));
    EXPECT_EQ(beliefs.Apply(ServerFact(server, 11), At(2)), FactOutcome::Stale);
    EXPECT_EQ(Find(beliefs, server).m_server.m_state, ServerState::Draining);
  });
  Section("an older removal of a zone entry is stale", [&] {
    beliefs.Apply(ZoneOutFact("a", 14), At(1));
    EXPECT_EQ(beliefs.Apply(RemovedFact(FactKind::ZoneOut, "a", 13), At(2)),
              FactOutcome::Stale);
    EXPECT_TRUE(beliefs.ZoneOutSince("a"));
  });
  Section("a malformed configuration leaves the current one in place", [&] {
    const registry::Fact junk{
      FactKind::Configuration, "", 20, registry::MalformedValue{ "junk" }
    };
    EXPECT_EQ(beliefs.Apply(junk, At(3)), FactOutcome::SetAside);
    EXPECT_NE(beliefs.FindRoute(*base::ParseEndpoint("198.18.0.1:443")),
              nullptr);
  });
}

TEST(RegistryCache, KeepsAServersTokenUntilNoFlowCanBeLeft)
{
  RegistryCache beliefs;
  const auto server = MakeServer("i-1");
  beliefs.Apply(ServerFact(server, 2), At(0));

  Section("an entry removed while the server was ready lapses", [&] {
    beliefs.Apply(RemovedFact(FactKind::Server, "i-1", 3), At(1));
    EXPECT_EQ(Find(beliefs, server).m_presence, Presence::Lapsed);
    EXPECT_EQ(beliefs.ServersOf("desk").size(), 1U);
  });
  Section("a lapsed entry that reappears is listed again", [&] {
    beliefs.Apply(ServerFact(server, 4), At(2));
    EXPECT_EQ(Find(beliefs, server).m_presence, Presence::Listed);
  });
  Section("a server that stays lapsed beyond the grace period is gone", [&] {
    beliefs.Apply(RemovedFact(FactKind::Server, "i-1", 5), At(3));
    beliefs.Tick(At(5));
    EXPECT_EQ(Find(beliefs, server).m_presence, Presence::Lapsed);
    beliefs.Tick(At(6));
    EXPECT_EQ(Find(beliefs, server).m_presence, Presence::Gone);
    EXPECT_TRUE(beliefs.ServersOf("desk").empty());
  });
  Section("the record of a gone server is dropped when no flow can be left",
          [&] {
            beliefs.Tick(At(100));
            EXPECT_EQ(beliefs.FindByToken(MakeToken("i-1", 1)), nullptr);
          });
}

TEST(RegistryCache, MarksADrainingServerAsGoneOnRemoval)
{
  RegistryCache beliefs;
  const auto server = MakeServer("i-1");
  beliefs.Apply(ServerFact(Draining(server), 2), At(0));
  beliefs.Apply(RemovedFact(FactKind::Server, "i-1", 3), At(1));
  EXPECT_EQ(Find(beliefs, server).m_presence, Presence::Gone);
}

TEST(RegistryCache, ReplacesTheRecordOfARestartedServer)
{
  RegistryCache beliefs;
  const auto first = MakeServer("i-1", "a", 100);
  const auto second = MakeServer("i-1", "a", 200);
  beliefs.Apply(ServerFact(first, 2), At(0));
  beliefs.Apply(ServerFact(second, 3), At(1));
  EXPECT_EQ(Find(beliefs, first).m_presence, Presence::Replaced);
  EXPECT_EQ(Find(beliefs, second).m_presence, Presence::Listed);
  ASSERT_EQ(beliefs.ServersOf("desk").size(), 1U);
  EXPECT_EQ(beliefs.ServersOf("desk")[0]->m_server.m_startId, 200U);
}

TEST(RegistryCache, RemovesEntriesMissingFromAListing)
{
  RegistryCache beliefs;
  const auto old = MakeServer("i-1");
  const auto found = MakeServer("i-2");
  const auto newer = MakeServer("i-3");
  beliefs.Apply(ServerFact(old, 2), At(0));
  beliefs.Apply(ServerFact(found, 3), At(0));
  beliefs.Apply(ZoneOutFact("a", 4), At(0));
  beliefs.Apply(ServerFact(newer, 12), At(0));
  // The listing began at revision 10, so it can't contain the newer entry.
  beliefs.EndListing(10, { { FactKind::Server, "i-2" } }, At(1));
  EXPECT_EQ(Find(beliefs, old).m_presence, Presence::Lapsed);
  EXPECT_EQ(Find(beliefs, found).m_presence, Presence::Listed);
  EXPECT_EQ(Find(beliefs, newer).m_presence, Presence::Listed);
  EXPECT_FALSE(beliefs.ZoneOutSince("a"));
}

TEST(RegistryCache, KeepsOtherEntriesWhenOneIsMalformed)
{
  RegistryCache beliefs;
  beliefs.Apply(ServerFact(MakeServer("i-1"), 2), At(0));
  const registry::Fact junk{
    FactKind::Server, "i-9", 3, registry::MalformedValue{ "junk" }
  };
  EXPECT_EQ(beliefs.Apply(junk, At(1)), FactOutcome::SetAside);
  EXPECT_EQ(beliefs.ServersOf("desk").size(), 1U);

  Section("a server whose entry becomes malformed gets no new flows after the "
          "grace period",
          [&] {
            const registry::Fact over{
              FactKind::Server, "i-1", 4, registry::MalformedValue{ "junk" }
            };
            beliefs.Apply(over, At(2));
            beliefs.Tick(At(6));
            EXPECT_TRUE(beliefs.ServersOf("desk").empty());
          });
}

TEST(RegistryCache, AssignsCollidingTokensIndependentlyOfOrder)
{
  const auto [first, second] = FindCollidingIds();
  std::vector<std::vector<std::string>> owners;
  for (const auto& order :
       { std::vector{ first, second }, std::vector{ second, first } }) {
    RegistryCache beliefs;
    std::uint64_t revision = 1;
    for (const std::string& id : order) {
      beliefs.Apply(ServerFact(MakeServer(id), ++revision), At(0));
    }
    std::vector<std::string> takes;
    for (const auto* server : beliefs.ServersOf("desk")) {
      if (!server->m_tokenCollides) {
        takes.push_back(server->m_server.m_id);
        EXPECT_EQ(beliefs.FindByToken(server->m_token), server);
      }
    }
    owners.push_back(takes);
  }
  EXPECT_EQ(owners[0], owners[1]);
  EXPECT_EQ(owners[0].size(), 1U);
}

TEST(RegistryCache, KeepsARestartedServerWhoseFormerTokenCollides)
{
  // Guards against a server that keeps getting flows after it has left, as its
  // record was lost when another server had the token of its former start.
  const auto ids = FindCollidingIds();
  const std::string smaller = std::min(ids.first, ids.second);
  const std::string larger = std::max(ids.first, ids.second);
  RegistryCache beliefs;
  beliefs.Apply(ServerFact(MakeServer(larger, "a", 1), 2), At(0));
  beliefs.Apply(ServerFact(MakeServer(larger, "a", 2), 3), At(0));
  beliefs.Apply(ServerFact(MakeServer(smaller, "a", 1), 4), At(0));
  EXPECT_EQ(beliefs.ServersOf("desk").size(), 2U);
  EXPECT_EQ(beliefs.FactsSince(0, At(0))->size(), 2U);

  Section("it is removed when its entry is", [&] {
    beliefs.Apply(RemovedFact(FactKind::Server, larger, 5), At(0));
    beliefs.Tick(At(3));
    const auto left = beliefs.ServersOf("desk");
    ASSERT_EQ(left.size(), 1U);
    EXPECT_EQ(left[0]->m_server.m_id, smaller);
  });
  Section("the records of both are dropped at last", [&] {
    beliefs.Apply(RemovedFact(FactKind::Server, smaller, 6), At(4));
    beliefs.Tick(At(7));
    beliefs.Tick(At(200));
    EXPECT_EQ(beliefs.ServerCount(), 0U);
  });
}

TEST(RegistryCache, GivesNeighbouringIdsAndStartsDifferentTokens)
{
  // Guards against servers that get no flows, as ids in sequence and starts in
  // the same milliseconds had equal tokens.
  constexpr int kIds = 100;
  constexpr std::uint64_t kStarts = 16;
  std::set<std::uint32_t> tokens;
  for (int id = 0; id < kIds; ++id) {
    for (std::uint64_t born = 1; born <= kStarts; ++born) {
      tokens.insert(MakeToken("i-" + std::to_string(id), born));
    }
  }
  EXPECT_EQ(tokens.size(), kIds * kStarts);
}

TEST(RegistryCache, GivesNoChangesSinceARevisionBeforeTheFirstListing)
{
  RegistryCache young;
  young.Apply(ConfigurationFact(5, 2), At(0));
  young.Apply(ServerFact(MakeServer("i-1"), 3), At(0));
  young.EndListing(20, { { FactKind::Server, "i-1" } }, At(0));
  EXPECT_FALSE(young.FactsSince(10, At(0)))
    << "a server may have been removed between revisions 10 and 20";
  EXPECT_TRUE(young.FactsSince(20, At(0)));
}

TEST(RegistryCache, OmitsRewrittenEntriesOfColdServersFromChanges)
{
  RegistryCache beliefs;
  auto server = MakeServer("i-1");
  const auto renew =
    [&](base::Duration aCold, std::uint64_t aRevision, base::Instant aNow) {
      server.m_coldRemaining = aCold;
      return beliefs.Apply(ServerFact(server, aRevision), aNow, Origin::Watch);
    };
  renew(8s, 10, At(0));
  beliefs.EndListing(10, { { FactKind::Server, "i-1" } }, At(0));

  Section(
    "an entry whose remaining cold time shrinks as time passes is omitted",
    [&] {
      EXPECT_EQ(renew(6800ms, 11, At(1.2)), FactOutcome::Unchanged);
      EXPECT_TRUE(beliefs.FactsSince(10, At(1.2))->empty());
    });
  Section(
    "an entry that is read late leaves the end of the cold period unchanged",
    [&] {
      EXPECT_EQ(renew(6500ms, 12, At(2.4)), FactOutcome::Unchanged);
      EXPECT_EQ(Find(beliefs, server).m_coldUntil, At(8));
    });
  Section("an earlier end of the cold period is adopted but omitted", [&] {
    EXPECT_EQ(renew(5s, 13, At(2.5)), FactOutcome::Unchanged);
    EXPECT_EQ(Find(beliefs, server).m_coldUntil, At(7.5));
    EXPECT_TRUE(beliefs.FactsSince(12, At(2.5))->empty());
  });
  Section("a server that becomes cold again is included", [&] {
    EXPECT_EQ(renew(8s, 14, At(2.6)), FactOutcome::Adopted);
    EXPECT_EQ(beliefs.FactsSince(13, At(2.6))->size(), 1U);
  });
  Section("a warm server that becomes cold for a short time is included", [&] {
    renew(0s, 15, At(12));
    EXPECT_TRUE(beliefs.FactsSince(14, At(12))->empty());
    EXPECT_EQ(renew(800ms, 16, At(13)), FactOutcome::Adopted);
  });
  Section("an entry older than the latest unchanged one is stale", [&] {
    renew(0s, 18, At(15));
    EXPECT_EQ(beliefs.Apply(ServerFact(Draining(server), 17), At(15.1)),
              FactOutcome::Stale);
  });
}

TEST(RegistryCache, IncludesUnchangedEntriesWhoseHistoryIsUnknown)
{
  // The entry was removed at revision 20 and reappeared at 30. A host that
  // missed both sees an unchanged entry at 30. It must still send the entry:
  // another host may have seen only the removal.
  const auto server = MakeServer("i-1");
  for (const Origin origin : { Origin::Listing, Origin::Peer, Origin::Watch }) {
    RegistryCache teller;
    teller.Apply(ServerFact(server, 10), At(0));
    teller.EndListing(10, { { FactKind::Server, "i-1" } }, At(0));
    teller.Apply(ServerFact(server, 30), At(3), origin);
    const auto told = teller.FactsSince(25, At(3));
    ASSERT_TRUE(told);
    EXPECT_EQ(told->size(), 1U)
      << "a host at revision 25 has the entry as lapsed";
  }
}

TEST(RegistryCache, SendsRemovalsOfServersThatItDidNotKnow)
{
  // Guards against a server that one host knows and that stays there for ever,
  // as its removal reached the host through one that did not know the server.
  RegistryCache relaying;
  relaying.EndListing(10, {}, At(0));
  relaying.Apply(RemovedFact(FactKind::Server, "i-1", 15), At(0));
  const auto told = relaying.FactsSince(10, At(0));
  ASSERT_TRUE(told);
  EXPECT_EQ(*told, (std::vector{ RemovedFact(FactKind::Server, "i-1", 15) }));

  Section("an older entry of such a server is stale", [&] {
    EXPECT_EQ(relaying.Apply(ServerFact(MakeServer("i-1"), 12), At(1)),
              FactOutcome::Stale);
    EXPECT_EQ(relaying.Apply(ServerFact(MakeServer("i-1"), 16), At(1)),
              FactOutcome::Adopted);
  });
  Section("a removal that is dropped leaves earlier changes incomplete", [&] {
    relaying.Apply(RemovedFact(FactKind::Server, "i-2", 17), At(2));
    relaying.Tick(At(100));
    EXPECT_FALSE(relaying.FactsSince(16, At(100)));
    EXPECT_TRUE(relaying.FactsSince(17, At(100)));
  });
}

TEST(RegistryCache, SendsASecondRemovalWhoseFirstIsKnown)
{
  // Guards against a server that stays there for ever: it came back and left
  // again while the sender knew only that it had left before.
  RegistryCache sender;
  sender.Apply(ServerFact(MakeServer("i-1"), 5), At(0));
  sender.EndListing(10, { { FactKind::Server, "i-1" } }, At(0));
  sender.Apply(RemovedFact(FactKind::Server, "i-1", 20), At(0));
  sender.Tick(At(5));
  sender.Apply(RemovedFact(FactKind::Server, "i-1", 40), At(6));
  EXPECT_EQ(*sender.FactsSince(30, At(6)),
            (std::vector{ RemovedFact(FactKind::Server, "i-1", 40) }));
}

TEST(RegistryCache, CanBeRebuiltOnAnotherHostFromItsFacts)
{
  RegistryCache here;
  here.Apply(ConfigurationFact(5, 2), At(0));
  here.Apply(ServerFact(MakeServer("i-1"), 3), At(0));
  here.Apply(ServerFact(MakeServer("i-2"), 4), At(0));
  here.Apply(RemovedFact(FactKind::Server, "i-2", 5), At(0));
  here.Apply(ZoneOutFact("b", 6), At(0));
  here.EndListing(
    6, { { FactKind::Server, "i-1" }, { FactKind::ZoneOut, "b" } }, At(0));
  RegistryCache there;
  const auto told = here.FactsSince(0, At(0));
  ASSERT_TRUE(told);
  for (const auto& fact : *told) {
    there.Apply(fact, At(0));
  }
  EXPECT_EQ(there.CurrentGlobal(), here.CurrentGlobal());
  EXPECT_EQ(there.CurrentConfiguration(), here.CurrentConfiguration());
  EXPECT_EQ(there.ServersOf("desk").size(), 1U);
  EXPECT_TRUE(there.ZoneOutSince("b"));
}

} // namespace wasabiloom::tests
