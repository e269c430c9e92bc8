#include "support/NoEvents.h"
#include "support/Problems.h"
#include "support/Registry.h"
#include "support/Section.h"

#include "platform/StoreClient.h"
#include "wasabiloom/registry/FactsCodec.h"
#include "wasabiloom/registry/Reader.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using namespace std::chrono_literals;
using registry::Fact;
using registry::FactKind;
using registry::Presence;
using registry::RegistryRevision;
using registry::RegistryUpdate;
using registry::ServerState;
using Kind = registry::ReaderCall::Kind;

namespace {

/// A host that reads the registry.
struct Host
{
  registry::RegistryCache m_cache;
  NoEvents m_events;
  registry::Reader m_reader{ {}, 7, m_cache, m_events };

  /// The registry answers the next call with a listing.
  void List(const RegistryRevision& aRevision,
            std::vector<Fact> aFacts,
            base::Instant aNow)
  {
    EXPECT_EQ(m_reader.Next(aNow + 2s).m_kind, Kind::List);
    registry::Page page{ std::move(aFacts), "", aRevision };
    registry::SetEpoch(aRevision.m_epoch, page);
    m_reader.OnPage(page, aNow);
  }

  /// The registry answers the next call with changes.
  void Change(const RegistryRevision& aRevision,
              std::vector<Fact> aFacts,
              base::Instant aNow)
  {
    EXPECT_EQ(m_reader.Next(aNow + 2s).m_kind, Kind::Watch);
    registry::Changes changes{ std::move(aFacts), aRevision };
    registry::SetEpoch(aRevision.m_epoch, changes);
    m_reader.OnChanges(changes, aNow);
  }

  const registry::ServerRecord& Find(std::uint64_t aStart = 1) const
  {
    return *m_cache.FindByToken(registry::MakeToken("i-1", aStart));
  }
};

registry::Server
Draining()
{
  registry::Server server = MakeServer("i-1");
  server.m_state = ServerState::Draining;
  return server;
}

/// Returns a host that knows revision 10 of epoch 1: version 3, server 1 and
/// zone b out of service.
std::unique_ptr<Host>
HostBeforeRestore()
{
  auto host = std::make_unique<Host>();
  host->List({ 1, 8 },
             { ConfigurationFact(2, 4), ServerFact(MakeServer("i-1"), 5) },
             At(0));
  host->Change(
    { 1, 10 }, { ConfigurationFact(3, 9), ZoneOutFact("b", 10) }, At(0));
  return host;
}

} // namespace

TEST(Epoch, AnswerOfALaterEpochLeadsToAListing)
{
  // Guards against a watch that goes on from a number of another epoch.
  auto host = HostBeforeRestore();
  host->Change({ 2, 12 }, { ZoneOutFact("c", 12) }, At(1));
  EXPECT_EQ(host->m_reader.Revision(), RegistryRevision(1, 10));
  EXPECT_FALSE(host->m_cache.ZoneOutSince("c"));
  host->List({ 2, 7 }, { ServerFact(MakeServer("i-1"), 5) }, At(1));
  EXPECT_EQ(host->m_reader.Revision(), RegistryRevision(2, 7));

  Section("an answer of the old epoch that arrives late changes nothing", [&] {
    host->Change({ 1, 20 }, { ZoneOutFact("d", 20) }, At(2));
    EXPECT_EQ(host->m_reader.Revision(), RegistryRevision(2, 7));
    EXPECT_FALSE(host->m_cache.ZoneOutSince("d"));
    EXPECT_TRUE(host->m_reader.IsFailing());
  });
  Section("so does an update of a host that missed the restore", [&] {
    const auto late = HostBeforeRestore();
    const auto update = late->m_reader.UpdateSince({}, At(2));
    EXPECT_EQ(host->m_reader.OnPeerUpdate(*update, At(2)),
              registry::UpdateOutcome::Stale);
  });
  Section("an answer without the header is one of the known epoch", [&] {
    host->Change(9, { ZoneOutFact("d", 9) }, At(2));
    EXPECT_EQ(host->m_reader.Revision(), RegistryRevision(2, 9));
    EXPECT_TRUE(host->m_cache.ZoneOutSince("d"));
  });
  Section("a second restore leads to a listing again", [&] {
    EXPECT_EQ(host->m_reader.Next(At(4)).m_kind, Kind::Watch);
    host->m_reader.OnFailure({ base::ResultCode::HistoryGone, "status 410", 3 },
                             At(4));
    host->List({ 3, 6 }, {}, At(5));
    EXPECT_EQ(host->m_reader.Revision(), RegistryRevision(3, 6));
  });
}

TEST(Epoch, RestoreInTheMiddleOfAListingBeginsItAgain)
{
  // Guards against a state that is put together from two epochs.
  Host host;
  EXPECT_EQ(host.m_reader.Next(At(0)).m_kind, Kind::List);
  host.m_reader.OnPage({ { ConfigurationFact(2, 4) }, "k", { 1, 9 } }, At(0));
  EXPECT_EQ(host.m_reader.Next(At(0)).m_afterKey, "k");
  host.m_reader.OnPage({ {}, "", { 2, 7 } }, At(0));
  EXPECT_FALSE(host.m_cache.HasCompleteListing());
  const auto again = host.m_reader.Next(At(1));
  EXPECT_EQ(again.m_kind, Kind::List);
  EXPECT_EQ(again.m_afterKey, "");
}

TEST(Epoch, RestoredStateDoesNotUndoWhatWasInForce)
{
  Section("the configuration, also after the other facts are dropped", [&] {
    const auto host = HostBeforeRestore();
    host->Change({ 2, 7 }, {}, At(1));
    host->List({ 2, 7 }, { ConfigurationFact(2, 4) }, At(1));
    EXPECT_EQ(host->m_cache.CurrentGlobal().m_version, 3U);
    host->m_cache.Tick(At(60));
    EXPECT_EQ(host->m_cache.CurrentGlobal().m_version, 3U);
    Section("until a newer one is written", [&] {
      host->Change({ 2, 8 }, { ConfigurationFact(4, 8) }, At(61));
      EXPECT_EQ(host->m_cache.CurrentGlobal().m_version, 4U);
    });
  });
  Section("a zone stays out until its time is over", [&] {
    const auto host = HostBeforeRestore();
    host->Change({ 2, 7 }, {}, At(1));
    host->List({ 2, 7 }, { ConfigurationFact(2, 4) }, At(1));
    EXPECT_TRUE(host->m_cache.ZoneOutSince("b"));
    EXPECT_EQ(host->m_cache.KeptCount(), 1U);
    EXPECT_EQ(host->m_cache.Tick(At(30)), 0U);
    EXPECT_TRUE(host->m_cache.ZoneOutSince("b"));
    EXPECT_EQ(host->m_cache.Tick(At(32)), 1U);
    EXPECT_FALSE(host->m_cache.ZoneOutSince("b"));
  });
  const auto takeBackAndRestore = [](Host& aHost) {
    aHost.Change({ 1, 11 }, { RemovedFact(FactKind::ZoneOut, "b", 11) }, At(1));
    aHost.Change({ 2, 10 }, {}, At(2));
    aHost.List({ 2, 10 }, { ZoneOutFact("b", 10) }, At(2));
    EXPECT_FALSE(aHost.m_cache.ZoneOutSince("b"));
  };
  Section("a zone that was taken back stays in until taken out again", [&] {
    const auto host = HostBeforeRestore();
    takeBackAndRestore(*host);
    host->Change({ 2, 11 }, { ZoneOutFact("b", 11) }, At(3));
    EXPECT_TRUE(host->m_cache.ZoneOutSince("b"));
  });
  Section("or until its time is over", [&] {
    const auto host = HostBeforeRestore();
    takeBackAndRestore(*host);
    EXPECT_EQ(host->m_cache.Tick(At(33)), 1U);
    EXPECT_TRUE(host->m_cache.ZoneOutSince("b"));
  });
  Section("a missing server is lapsed until it has registered again", [&] {
    const auto host = HostBeforeRestore();
    host->Change({ 2, 4 }, {}, At(1));
    host->List({ 2, 4 }, {}, At(1));
    host->m_cache.Tick(At(5));
    EXPECT_EQ(host->Find().m_presence, Presence::Lapsed);
    host->Change({ 2, 5 }, { ServerFact(MakeServer("i-1"), 5) }, At(5));
    EXPECT_EQ(host->Find().m_presence, Presence::Listed);
  });
  Section("a draining server remains so for this start", [&] {
    const auto host = HostBeforeRestore();
    host->Change({ 1, 11 }, { ServerFact(Draining(), 11) }, At(1));
    host->Change({ 2, 9 }, {}, At(2));
    host->List({ 2, 9 }, { ServerFact(MakeServer("i-1"), 5) }, At(2));
    EXPECT_EQ(host->Find().m_server.m_state, ServerState::Draining);
    Section("and its next start is ready", [&] {
      host->Change(
        { 2, 10 }, { ServerFact(MakeServer("i-1", "a", 2), 10) }, At(3));
      EXPECT_EQ(host->Find(2).m_presence, Presence::Listed);
      EXPECT_EQ(host->m_cache.KeptCount(), 1U) << "zone b alone";
    });
  });
  Section("a server that was gone is not back by the restored state", [&] {
    const auto host = HostBeforeRestore();
    host->Change({ 1, 11 }, { ServerFact(Draining(), 11) }, At(1));
    host->Change(
      { 1, 12 }, { RemovedFact(FactKind::Server, "i-1", 12) }, At(2));
    host->Change({ 2, 9 }, {}, At(3));
    host->List({ 2, 9 }, { ServerFact(MakeServer("i-1"), 5) }, At(3));
    EXPECT_EQ(host->Find().m_presence, Presence::Gone);
    Section("but by its own new entry", [&] {
      host->Change({ 2, 10 }, { ServerFact(MakeServer("i-1"), 10) }, At(4));
      EXPECT_EQ(host->Find().m_presence, Presence::Listed);
    });
  });
}

TEST(Epoch, HostsThatStartAfterTheRestoreLearnWhatIsKept)
{
  // Guards against hosts that disagree about zones and servers until these are
  // written again.
  auto host = HostBeforeRestore();
  host->Change({ 1, 11 }, { ServerFact(Draining(), 11) }, At(1));
  host->Change({ 2, 9 }, {}, At(2));
  const std::vector<Fact> restored = { ConfigurationFact(2, 4),
                                       ServerFact(MakeServer("i-1"), 5) };
  host->List({ 2, 9 }, restored, At(2));
  const auto update = host->m_reader.UpdateSince({}, At(3));
  ASSERT_TRUE(update);
  const auto sent =
    ValueOf([&] { return registry::DecodeUpdate(EncodeUpdate(*update)); });
  EXPECT_EQ(sent, *update);
  const auto expectKept = [&](Host& aHost) {
    EXPECT_EQ(aHost.m_cache.CurrentGlobal().m_version, 3U);
    EXPECT_TRUE(aHost.m_cache.ZoneOutSince("b"));
    EXPECT_EQ(aHost.Find().m_server.m_state, ServerState::Draining);
    EXPECT_EQ(aHost.m_cache.Tick(At(33)), 2U);
    EXPECT_FALSE(aHost.m_cache.ZoneOutSince("b"));
    EXPECT_EQ(aHost.Find().m_server.m_state, ServerState::Ready);
    EXPECT_EQ(aHost.m_cache.CurrentGlobal().m_version, 3U);
  };
  Section("one that knows nothing yet", [&] {
    Host other;
    EXPECT_EQ(other.m_reader.OnPeerUpdate(sent, At(3)),
              registry::UpdateOutcome::Applied);
    EXPECT_FALSE(other.m_cache.LacksKeptFacts(At(3)));
    expectKept(other);
  });
  Section("one that has listed the registry, and knows more of it", [&] {
    Host other;
    other.List({ 2, 12 }, restored, At(3));
    EXPECT_TRUE(other.m_cache.LacksKeptFacts(At(3)));
    EXPECT_EQ(other.m_cache.PullFrom(At(3)), RegistryRevision{});
    other.m_reader.OnPeerUpdate(sent, At(3));
    EXPECT_FALSE(other.m_cache.LacksKeptFacts(At(3)));
    EXPECT_EQ(other.m_reader.Revision(), RegistryRevision(2, 12));
    expectKept(other);
  });
}

TEST(Epoch, IsReadFromTheHeaderOfTheStore)
{
  const auto epochOf = [](const std::string& aValue) {
    daemon::HttpAnswer answer;
    answer.m_headers = { { "store-era", aValue } };
    return platform::EpochOf(answer);
  };
  EXPECT_EQ(epochOf("3"), 3U);
  Section("none that can't be read", [&] {
    for (const char* value : { "", "x", "3x", "-1", "99999999999999999999" }) {
      EXPECT_EQ(epochOf(value), 0U) << value;
    }
    EXPECT_EQ(platform::EpochOf({}), 0U);
  });
  Section("of pages, changes and failed answers", [&] {
    daemon::HttpAnswer answer{
      200, R"({"items":[],"HasMore":false,"StoreRevision":7})", ""
    };
    answer.m_headers = { { "store-era", "2" } };
    const auto page = std::get<registry::Page>(platform::ListResultOf(answer));
    EXPECT_EQ(page.m_revision, RegistryRevision(2, 7));
    answer.m_status = 410;
    const auto failure =
      std::get<registry::CallFailure>(platform::WatchResultOf(answer));
    EXPECT_EQ(failure.m_code, base::ResultCode::HistoryGone);
    EXPECT_EQ(failure.m_epoch, 2U);
  });
}

} // namespace wasabiloom::tests
