#include "support/Registry.h"
#include "support/Section.h"
#include "wasabiloom/registry/Reader.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using namespace registry;
using base::ResultCode;
using Kind = ReaderCall::Kind;

namespace {

/// Counts the events of a reader and keeps the latest values.
class Events final : public ReaderEvents
{
public:
  void OnFact(const Fact& /*aFact*/,
              FactOutcome aOutcome,
              registry::Origin /*aOrigin*/) override
  {
    m_adopted += aOutcome == FactOutcome::Adopted ? 1 : 0;
  }
  void OnCallFailed(const CallFailure& /*aFailure*/,
                    std::uint32_t aFailures,
                    base::Duration aPause) override
  {
    m_failures = aFailures;
    m_pause = aPause;
  }
  void OnReachable(const registry::RegistryRevision& /*aRevision*/) override
  {
    ++m_reached;
  }
  void OnEpoch(const registry::RegistryRevision& aRevision,
               std::size_t aKept) override
  {
    m_epoch = aRevision.m_epoch;
    m_kept = aKept;
  }
  void OnListed(const registry::RegistryRevision& /*aRevision*/,
                std::size_t aFacts) override
  {
    m_listed = aFacts;
  }

  int m_adopted = 0;
  int m_reached = 0;
  std::uint32_t m_failures = 0;
  base::Duration m_pause{ 0 };
  std::size_t m_listed = 0;
  std::uint64_t m_epoch = 0;
  std::size_t m_kept = 0;
};

struct ReaderUnderTest
{
  ReaderTiming m_timing;
  RegistryCache m_cache;
  Events m_events;
  Reader m_reader{ m_timing, 7, m_cache, m_events };

  /// Completes a listing of one page with a configuration at `aRevision`, and
  /// the watch that confirms it.
  void List(std::uint64_t aRevision)
  {
    EXPECT_EQ(m_reader.Next(At(0)).m_kind, Kind::List);
    m_reader.OnPage({ { ConfigurationFact(1, 1) }, "", aRevision }, At(0));
    EXPECT_EQ(m_reader.Next(At(0)).m_kind, Kind::Watch);
    m_reader.OnChanges({ {}, aRevision }, At(0));
  }
};

const CallFailure kUnavailable{ ResultCode::PlatformUnavailable, "503" };

} // namespace

TEST(Reader, ListsThenWatches)
{
  ReaderUnderTest setup;
  Reader& reader = setup.m_reader;
  const ReaderCall first = reader.Next(At(0));
  EXPECT_EQ(first.m_kind, Kind::List);
  EXPECT_EQ(reader.Next(At(0)).m_kind, Kind::None)
    << "only one call at a time is allowed";
  reader.OnPage({ { ConfigurationFact(1, 1) }, "k", 10 }, At(0));

  Section("the listing continues with the next page", [&] {
    EXPECT_EQ(reader.Next(At(0)).m_afterKey, "k");
    reader.OnPage({ { ServerFact(MakeServer("i-1"), 12) }, "", 14 }, At(0));
    EXPECT_EQ(setup.m_events.m_listed, 2U);
    EXPECT_TRUE(setup.m_cache.IsComplete());
  });
  Section(
    "the watch starts at the first page's revision, as pages are no snapshot",
    [&] {
      const ReaderCall watch = reader.Next(At(0));
      EXPECT_EQ(watch.m_kind, Kind::Watch);
      EXPECT_EQ(watch.m_revision, 10U);
      reader.OnChanges({ {}, 14 }, At(0));
    });
  Section("the next watch waits for changes once the listing is confirmed",
          [&] {
            const ReaderCall watch = reader.Next(At(0));
            EXPECT_EQ(watch.m_revision, 14U);
            EXPECT_EQ(watch.m_wait, setup.m_timing.m_watchWait);
            EXPECT_GT(watch.m_timeout, watch.m_wait);
          });
}

TEST(Reader, DelaysTheNextWatchAfterChanges)
{
  ReaderUnderTest setup;
  setup.List(10);
  Reader& reader = setup.m_reader;
  reader.Next(At(1));
  reader.OnChanges({ { ServerFact(MakeServer("i-1"), 11) }, 11 }, At(2));
  EXPECT_EQ(reader.Next(At(2.5)).m_kind, Kind::None);
  EXPECT_EQ(reader.Next(At(3)).m_kind, Kind::Watch);

  Section("there is no delay after a watch without changes", [&] {
    reader.OnChanges({ {}, 11 }, At(7));
    EXPECT_EQ(reader.Next(At(7)).m_kind, Kind::Watch);
  });
  Section("an expedited watch waits only for the minimum delay", [&] {
    reader.OnChanges({ { ServerFact(MakeServer("i-2"), 12) }, 12 }, At(8));
    reader.ExpediteNextCall(At(8.05));
    EXPECT_EQ(reader.Next(At(8.05)).m_kind, Kind::None);
    EXPECT_EQ(reader.Next(At(8.15)).m_kind, Kind::Watch);
  });
}

TEST(Reader, BacksOffWithJitterAfterFailures)
{
  ReaderUnderTest setup;
  setup.List(10);
  Reader& reader = setup.m_reader;
  double now = 1;
  base::Duration longest{ 0 };
  for (std::uint32_t i = 1; i <= 12; ++i) {
    EXPECT_NE(reader.Next(At(now)).m_kind, Kind::None);
    reader.OnFailure(kUnavailable, At(now));
    EXPECT_EQ(setup.m_events.m_failures, i);
    EXPECT_EQ(reader.Next(At(now)).m_kind, Kind::None);
    longest = std::max(longest, setup.m_events.m_pause);
    EXPECT_LE(longest, setup.m_timing.m_maxBackoff);
    now += 2;
  }
  EXPECT_GE(longest, setup.m_timing.m_maxBackoff / 2);

  Section("a watch does not wait for changes while calls are failing", [&] {
    EXPECT_EQ(reader.Next(At(now)).m_wait, base::Duration::zero());
  });
  Section("two hosts retry at different times", [&] {
    Events events;
    Reader other(setup.m_timing, 8, setup.m_cache, events);
    other.Next(At(0));
    other.OnFailure(kUnavailable, At(0));
    Reader same(setup.m_timing, 9, setup.m_cache, setup.m_events);
    same.Next(At(0));
    same.OnFailure(kUnavailable, At(0));
    EXPECT_NE(events.m_pause, setup.m_events.m_pause);
  });
  Section("one event reports that the registry responds again", [&] {
    const int before = setup.m_events.m_reached;
    reader.OnChanges({ {}, 10 }, At(now));
    EXPECT_EQ(setup.m_events.m_reached, before + 1);
    EXPECT_FALSE(reader.IsFailing());
  });
}

TEST(Reader, ListsAgainWhenTheWatchHistoryIsGone)
{
  ReaderUnderTest setup;
  setup.List(10);
  Reader& reader = setup.m_reader;
  reader.Next(At(1));
  reader.OnChanges({ { ServerFact(MakeServer("i-1"), 11) }, 11 }, At(1));
  reader.Next(At(2));
  reader.OnFailure({ ResultCode::HistoryGone, "410" }, At(2));
  EXPECT_EQ(reader.Next(At(4)).m_kind, Kind::List);
  reader.OnPage({ { ConfigurationFact(1, 1) }, "", 30 }, At(4));
  EXPECT_EQ(reader.Revision(), 30U);
  const auto* lost = setup.m_cache.FindByToken(MakeToken("i-1", 1));
  EXPECT_EQ(lost->m_presence, Presence::Lapsed);
}

TEST(Reader, IsNotKeptFromListingByUpdatesWithoutNews)
{
  // Guards against hosts that watch without end after the history was dropped.
  ReaderUnderTest setup;
  setup.List(10);
  Reader& reader = setup.m_reader;
  reader.Next(At(1));
  reader.OnFailure({ ResultCode::HistoryGone, "410" }, At(1));

  Section("an update that ends at the known revision changes nothing", [&] {
    reader.OnPeerUpdate({ 10, 10, {}, {} }, At(1));
    EXPECT_EQ(reader.Next(At(2)).m_kind, Kind::List);
    reader.OnFailure(kUnavailable, At(2));
    reader.OnPeerUpdate({ 0, 10, {}, { ConfigurationFact(1, 1) } }, At(2));
    EXPECT_EQ(reader.Next(At(4)).m_kind, Kind::List);
    reader.OnFailure(kUnavailable, At(4));
  });
  Section("a later change makes a watch possible again", [&] {
    reader.OnPeerUpdate({ 10, 12, {}, {} }, At(4));
    const ReaderCall watch = reader.Next(At(6));
    EXPECT_EQ(watch.m_kind, Kind::Watch);
    EXPECT_EQ(watch.m_revision, 12U);
  });
  Section("a watch that failed for an earlier revision is no reason to list",
          [&] {
            reader.OnPeerUpdate({ 12, 14, {}, {} }, At(6));
            reader.OnFailure({ ResultCode::HistoryGone, "410" }, At(6));
            EXPECT_EQ(reader.Next(At(8)).m_kind, Kind::Watch);
          });
}

TEST(Reader, SendsAllFactsToAHostThatKnowsWhatItHasMissed)
{
  // Guards against a dropped route that stays on the other hosts: it was added
  // and dropped while the host that reads for them stood still, and the history
  // was dropped before it listed again.
  ReaderUnderTest woken;
  woken.List(10);
  ReaderUnderTest other;
  other.List(10);
  const auto address = *base::ParseEndpoint("198.18.0.9:80");
  registry::Configuration added;
  added.m_version = 2;
  added.m_routes = { { "new", address, { { "desk", 1 } } } };
  other.m_reader.OnPeerUpdate({ 10,
                                13,
                                {},
                                { { FactKind::Configuration, "", 12, added },
                                  ServerFact(MakeServer("i-1"), 13) } },
                              At(1));
  ASSERT_NE(other.m_cache.FindRoute(address), nullptr);

  woken.m_reader.Next(At(1));
  woken.m_reader.OnFailure({ ResultCode::HistoryGone, "410" }, At(1));
  woken.m_reader.Next(At(2));
  woken.m_reader.OnPage({ { ConfigurationFact(3, 15) }, "", 20 }, At(2));

  const auto update =
    woken.m_reader.UpdateSince(other.m_reader.Revision(), At(2));
  ASSERT_TRUE(update);
  EXPECT_EQ(update->m_fromRevision, 0U);
  other.m_reader.OnPeerUpdate(*update, At(2));
  EXPECT_EQ(other.m_cache.FindRoute(address), nullptr);
  EXPECT_EQ(other.m_cache.FindByToken(MakeToken("i-1", 1))->m_presence,
            Presence::Lapsed);
}

TEST(Reader, ListsWhenItCannotUseTheAnswerOfAWatch)
{
  // Guards against hosts that ask for the same answer for ever: several large
  // versions in it exceed what a host accepts. A listing has only the latest.
  for (const ResultCode code :
       { ResultCode::AnswerTooLarge, ResultCode::RegistryMalformed }) {
    ReaderUnderTest setup;
    setup.List(10);
    Reader& reader = setup.m_reader;
    reader.Next(At(1));
    reader.OnFailure({ code, "" }, At(1));
    const ReaderCall list = reader.Next(At(2));
    EXPECT_EQ(list.m_kind, Kind::List);
    EXPECT_FALSE(list.m_mayBeStale);
    reader.OnPage({ { ConfigurationFact(9, 18) }, "", 20 }, At(2));
    EXPECT_EQ(setup.m_cache.CurrentGlobal().m_version, 9U);
    EXPECT_EQ(reader.Next(At(2)).m_revision, 20U);
  }
}

/// Answers the calls of a reader that knows revision 30 as a registry does that
/// is at `aRevision`. `aWatch` answers a watch.
template<typename Watch>
int
CountCallsWhileBehind(Reader& aReader,
                      std::uint64_t aRevision,
                      const Watch& aWatch)
{
  int calls = 0;
  for (int ms = 0; ms < 20'000; ms += 10) {
    const base::Instant now = At(100 + ms / 1000.0);
    const ReaderCall call = aReader.Next(now);
    calls += call.m_kind == Kind::None ? 0 : 1;
    if (call.m_kind == Kind::List) {
      aReader.OnPage({ { ConfigurationFact(1, 1) }, "", aRevision }, now);
    } else if (call.m_kind == Kind::Watch) {
      aWatch(now);
    }
  }
  return calls;
}

/// Two calls for each of the longest pauses, at their shortest, in 20 s, and
/// those of the first pauses.
constexpr int kMaxCallsIn20S = 60;

TEST(Reader, BacksOffWhileTheRegistryIsBehindWhatIsKnown)
{
  // Guards against hosts that list and watch several times a second for as long
  // as the registry is behind what they learned from others: each listing
  // counted as a success, and each watch from the known revision got 410.
  for (const std::uint64_t revision : { 20, 30 }) {
    ReaderUnderTest setup;
    setup.List(10);
    Reader& reader = setup.m_reader;
    reader.OnPeerUpdate({ 0, 30, {}, { ConfigurationFact(2, 25) } }, At(1));
    const auto gone = [&](base::Instant aNow) {
      reader.OnFailure({ ResultCode::HistoryGone, "410" }, aNow);
    };
    EXPECT_LT(CountCallsWhileBehind(reader, revision, gone), kMaxCallsIn20S);
    EXPECT_GT(setup.m_events.m_failures, 5U);
    EXPECT_EQ(setup.m_cache.CurrentGlobal().m_version, 2U);

    Section("the first change after the known revision is learned", [&] {
      ReaderCall call = reader.Next(At(130));
      if (call.m_kind == Kind::Watch) {
        gone(At(130));
        call = reader.Next(At(132));
      }
      ASSERT_EQ(call.m_kind, Kind::List);
      reader.OnPage({ { ConfigurationFact(3, 31) }, "", 31 }, At(132));
      EXPECT_EQ(setup.m_cache.CurrentGlobal().m_version, 3U);
    });
    Section("the next 410, for a later revision, is a first failure", [&] {
      reader.Next(At(133));
      gone(At(133));
      EXPECT_EQ(setup.m_events.m_failures, 1U);
    });
  }
}

TEST(Reader, IsNotCurrentByAListingThatEndsBehindWhatIsKnown)
{
  // Guards against a host that tells others that its facts are current while
  // the registry is behind them and none of its changes are taken in.
  ReaderUnderTest setup;
  setup.List(10);
  Reader& reader = setup.m_reader;
  reader.OnPeerUpdate({ 0, 30, {}, { ConfigurationFact(2, 25) } }, At(1));
  reader.Next(At(2));
  reader.OnFailure({ ResultCode::HistoryGone, "410" }, At(2));
  EXPECT_EQ(reader.Next(At(3)).m_kind, Kind::List);
  reader.OnPage({ { ConfigurationFact(1, 1) }, "", 20 }, At(3));
  EXPECT_EQ(reader.LearnedAt(), At(1));
}

TEST(Reader, BacksOffWhenAWatchEndsBeforeItsRevision)
{
  // Guards against calls without pause: a registry that is behind may answer a
  // watch at once with its own revision in place of 410.
  ReaderUnderTest setup;
  setup.List(10);
  Reader& reader = setup.m_reader;
  reader.OnPeerUpdate({ 0, 30, {}, { ConfigurationFact(2, 25) } }, At(1));
  reader.SetMaxUpdateAge(std::chrono::seconds(5));
  const auto behind = [&](base::Instant aNow) {
    reader.OnChanges({ {}, 20 }, aNow);
  };
  EXPECT_LT(CountCallsWhileBehind(reader, 20, behind), kMaxCallsIn20S);
  EXPECT_EQ(reader.LearnedAt(), At(1));
  EXPECT_TRUE(reader.IsFailing());
}

TEST(Reader, BeginsAListingAnewWhenOneOfItsPagesIsGone)
{
  // Guards against a host that asks for the same page for ever.
  ReaderUnderTest setup;
  Reader& reader = setup.m_reader;
  reader.Next(At(0));
  reader.OnPage({ { ConfigurationFact(1, 1) }, "k", 10 }, At(0));
  EXPECT_EQ(reader.Next(At(0)).m_afterKey, "k");
  reader.OnFailure({ ResultCode::HistoryGone, "410" }, At(0));
  const ReaderCall list = reader.Next(At(2));
  EXPECT_EQ(list.m_kind, Kind::List);
  EXPECT_EQ(list.m_afterKey, "");
  EXPECT_FALSE(list.m_mayBeStale);
}

TEST(Reader, WatchesFromTheOldestPageOfAListing)
{
  // Guards against a draining server that counts as ready after a restart: a
  // later page of the listing was older than the first one.
  ReaderUnderTest setup;
  Reader& reader = setup.m_reader;
  reader.Next(At(0));
  reader.OnPage({ { ConfigurationFact(1, 1) }, "k", 20 }, At(0));
  reader.Next(At(0));
  const auto server = MakeServer("i-1");
  reader.OnPage({ { ServerFact(server, 5) }, "", 10 }, At(0));
  EXPECT_EQ(reader.Revision(), 10U);
  EXPECT_EQ(reader.Next(At(0)).m_revision, 10U);

  auto leaving = server;
  leaving.m_state = ServerState::Draining;
  reader.OnChanges({ { ServerFact(leaving, 15) }, 20 }, At(0));
  EXPECT_EQ(setup.m_cache.FindByToken(MakeToken("i-1", 1))->m_server.m_state,
            ServerState::Draining);
}

TEST(Reader, BacksOffWhenAListingMakesNoProgress)
{
  // Guards against calls without a pause for a page that names its own start as
  // the start of the next one.
  ReaderUnderTest setup;
  Reader& reader = setup.m_reader;
  reader.Next(At(0));
  reader.OnPage({ { ConfigurationFact(1, 1) }, "k", 10 }, At(0));
  reader.Next(At(0));
  reader.OnPage({ {}, "k", 10 }, At(0));
  EXPECT_EQ(setup.m_events.m_failures, 1U);
  EXPECT_EQ(reader.Next(At(0)).m_kind, Kind::None);
}

TEST(Reader, TakesNothingFromAPageThatIsOlderThanWhatIsKnown)
{
  // Guards against servers and zones out of service that come back: they were
  // removed by the facts of another host while the listing ran.
  ReaderUnderTest setup;
  Reader& reader = setup.m_reader;
  reader.Next(At(0));
  reader.OnPage({ { ConfigurationFact(1, 1) }, "k", 10 }, At(0));
  reader.Next(At(0));
  reader.OnPeerUpdate({ 0, 20, {}, { ConfigurationFact(1, 1) } }, At(0));
  reader.OnPage(
    { { ServerFact(MakeServer("i-1"), 5), ZoneOutFact("a", 6) }, "", 12 },
    At(0));
  EXPECT_EQ(setup.m_cache.FindByToken(MakeToken("i-1", 1)), nullptr);
  EXPECT_FALSE(setup.m_cache.ZoneOutSince("a"));
  EXPECT_EQ(reader.Revision(), 20U);
}

TEST(Reader, IsCurrentOnlyAsOfACompleteFreshAnswer)
{
  // Guards against a host that tells others that its facts are current while it
  // has read only part of them, or a copy that may be old.
  ReaderUnderTest setup;
  Reader& reader = setup.m_reader;
  reader.Next(At(0));
  reader.OnPage({ { ConfigurationFact(1, 1) }, "", 10 }, At(0));
  EXPECT_EQ(reader.LearnedAt(), base::Instant{});
  reader.Next(At(1));
  reader.OnChanges({ {}, 10 }, At(1));
  EXPECT_EQ(reader.LearnedAt(), At(1));

  Section("a page of a fresh listing is not all of it", [&] {
    reader.Next(At(2));
    reader.OnFailure({ ResultCode::HistoryGone, "410" }, At(2));
    reader.Next(At(3));
    reader.OnPage({ { ConfigurationFact(1, 1) }, "k", 20 }, At(3));
    EXPECT_EQ(reader.LearnedAt(), At(1));
  });
  Section("its last page makes the facts current as of the first", [&] {
    reader.Next(At(4));
    reader.OnPage({ {}, "", 25 }, At(4));
    EXPECT_EQ(reader.LearnedAt(), At(3));
    EXPECT_EQ(reader.Revision(), 20U);
  });
}

TEST(Reader, ConfirmsAListingThatMayBeStale)
{
  ReaderUnderTest setup;
  Reader& reader = setup.m_reader;
  EXPECT_TRUE(reader.Next(At(0)).m_mayBeStale);
  reader.OnPage({ { ConfigurationFact(1, 1) }, "", 10 }, At(0));
  EXPECT_FALSE(reader.IsConfirmed());
  EXPECT_FALSE(reader.UpdateSince(0, At(0)))
    << "unconfirmed facts are not sent to other hosts";

  Section("a watch that does not wait confirms the listing", [&] {
    const ReaderCall watch = reader.Next(At(0));
    EXPECT_EQ(watch.m_kind, Kind::Watch);
    EXPECT_EQ(watch.m_revision, 10U);
    EXPECT_EQ(watch.m_wait, base::Duration::zero());
    reader.OnChanges({ { ConfigurationFact(2, 11) }, 11 }, At(0));
    EXPECT_TRUE(reader.IsConfirmed());
  });
  Section("a listing that must be current follows when the history is gone",
          [&] {
            reader.Next(At(1));
            reader.OnFailure({ ResultCode::HistoryGone, "410" }, At(1));
            const ReaderCall list = reader.Next(At(2));
            EXPECT_EQ(list.m_kind, Kind::List);
            EXPECT_FALSE(list.m_mayBeStale);
          });
}

TEST(Reader, AppliesOnlyNewerUpdatesWithoutGaps)
{
  ReaderUnderTest setup;
  Reader& reader = setup.m_reader;
  reader.Next(At(0));
  const RegistryUpdate whole{ 0, 20, {}, { ConfigurationFact(3, 5) } };
  EXPECT_EQ(reader.OnPeerUpdate(whole, At(0)), UpdateOutcome::Applied);
  EXPECT_TRUE(setup.m_cache.IsComplete());
  EXPECT_EQ(reader.LearnedAt(), At(0));
  EXPECT_EQ(reader.AnsweredAt(), base::Instant{});

  Section("a listing in progress is still applied when it is newer", [&] {
    reader.OnPage({ { ConfigurationFact(4, 21) }, "", 22 }, At(1));
    EXPECT_EQ(setup.m_cache.CurrentGlobal().m_version, 4U);
    EXPECT_EQ(reader.Next(At(1)).m_revision, 22U);
  });
  Section("an older update changes nothing", [&] {
    EXPECT_EQ(
      reader.OnPeerUpdate({ 0, 21, {}, { ConfigurationFact(2, 2) } }, At(2)),
      UpdateOutcome::Stale);
    EXPECT_EQ(setup.m_cache.CurrentGlobal().m_version, 4U);
  });
  Section("an update that leaves out unknown changes is not applied", [&] {
    EXPECT_EQ(
      reader.OnPeerUpdate({ 23, 24, {}, { ConfigurationFact(6, 24) } }, At(2)),
      UpdateOutcome::Gap);
    EXPECT_EQ(setup.m_cache.CurrentGlobal().m_version, 4U);
    EXPECT_EQ(reader.Revision(), 22U);
  });
  Section("an update that overlaps with known changes is applied", [&] {
    EXPECT_EQ(
      reader.OnPeerUpdate({ 20, 24, {}, { ConfigurationFact(6, 24) } }, At(2)),
      UpdateOutcome::Applied);
    EXPECT_EQ(setup.m_cache.CurrentGlobal().m_version, 6U);
  });
}

TEST(Reader, GivesTheChangesSinceARevision)
{
  ReaderUnderTest setup;
  setup.List(10);
  Reader& reader = setup.m_reader;
  reader.Next(At(0));
  reader.OnChanges({ { ServerFact(MakeServer("i-1"), 11),
                       ServerFact(MakeServer("i-2"), 12),
                       ZoneOutFact("b", 13) },
                     13 },
                   At(0));
  reader.Next(At(1));
  reader.OnChanges({ { RemovedFact(FactKind::Server, "i-1", 14),
                       RemovedFact(FactKind::ZoneOut, "b", 15) },
                     15 },
                   At(1));

  Section("a host that knows an earlier revision gets the removals", [&] {
    const auto update = reader.UpdateSince(13, At(1.5));
    ASSERT_TRUE(update);
    EXPECT_EQ(update->m_facts,
              (std::vector{ RemovedFact(FactKind::Server, "i-1", 14),
                            RemovedFact(FactKind::ZoneOut, "b", 15) }));
    EXPECT_EQ(update->m_age, std::chrono::milliseconds(500));
  });
  Section("a host that knows nothing gets only the current facts", [&] {
    const auto update = reader.UpdateSince(0, At(1.5));
    ASSERT_TRUE(update);
    EXPECT_EQ(update->m_facts.size(), 2U);
  });
  Section("a host that missed dropped removals gets all current facts", [&] {
    setup.m_cache.Tick(At(10));
    setup.m_cache.Tick(At(100));
    const auto update = reader.UpdateSince(13, At(100));
    ASSERT_TRUE(update);
    EXPECT_EQ(update->m_fromRevision, 0U);
  });
}

TEST(Reader, ConfirmsItsListingEvenWhileOtherHostsRead)
{
  ReaderUnderTest setup;
  Reader& reader = setup.m_reader;
  reader.SetMaxUpdateAge(std::chrono::seconds(2));
  reader.Next(At(0));
  reader.OnPage({ { ConfigurationFact(1, 1) }, "", 10 }, At(0));
  EXPECT_EQ(reader.Next(At(0)).m_kind, Kind::Watch);
}

TEST(Reader, MakesNoCallsWhileOtherHostsUpdatesAreRecent)
{
  ReaderUnderTest setup;
  setup.List(10);
  Reader& reader = setup.m_reader;
  reader.Next(At(0));
  reader.OnChanges({ {}, 10 }, At(0));
  reader.SetMaxUpdateAge(std::chrono::seconds(2));
  EXPECT_EQ(reader.Next(At(1.9)).m_kind, Kind::None);

  Section("the age of an update shortens the time without calls", [&] {
    reader.OnPeerUpdate({ 10, 10, std::chrono::milliseconds(500), {} },
                        At(1.9));
    EXPECT_EQ(reader.Next(At(3.3)).m_kind, Kind::None);
    EXPECT_EQ(reader.Next(At(3.5)).m_kind, Kind::Watch);
    reader.OnFailure(kUnavailable, At(3.5));
  });
  Section("a recent update of another host clears an earlier failure", [&] {
    reader.OnPeerUpdate({ 10, 11, {}, {} }, At(4));
    EXPECT_FALSE(reader.IsFailing());
    EXPECT_EQ(reader.Next(At(5.9)).m_kind, Kind::None);
  });
  Section("an expedited call ignores recent updates of other hosts", [&] {
    reader.ExpediteNextCall(At(5.9));
    EXPECT_EQ(reader.Next(At(5.9)).m_kind, Kind::Watch);
  });
}

} // namespace wasabiloom::tests
