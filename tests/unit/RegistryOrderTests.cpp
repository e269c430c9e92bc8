#include "support/NoEvents.h"
#include "support/RegistryModel.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace wasabiloom::tests {

using namespace std::chrono_literals;
using registry::ReaderCall;
using registry::RegistryUpdate;
using Kind = ReaderCall::Kind;

namespace {

constexpr std::uint64_t kSeeds = 400;
constexpr int kSteps = 250;
constexpr std::size_t kHosts = 3;

/// Rounds of 0.4 s in which hosts recover once nothing fails, and calls of each
/// host in a round.
constexpr int kRecoveryRounds = 60;
constexpr int kCallsARound = 4;

/// Rounds after a restore, which last longer than facts are kept.
constexpr int kRestoredRounds = 200;

/// Age of the oldest copy of the registry that answers, in revisions.
constexpr std::uint64_t kOldestCopy = 6;

/// Longest page of the registry, in values; some states take several pages.
constexpr std::size_t kPageLength = 3;

/// One start of a host, with the answer to its call that is on the way.
struct Host
{
  registry::RegistryCache m_cache;
  NoEvents m_events;
  registry::Reader m_reader;
  std::optional<ReaderCall> m_call;
  std::optional<std::variant<registry::Page, registry::WatchResult>> m_answer;
  base::Instant m_answeredAt;
  /// Longest time that its knowledge has spent on the way, which a host can't
  /// tell.
  base::Duration m_onTheWay{ 0 };
  /// Version of the configuration in force after the last event.
  std::uint64_t m_version = 0;

  explicit Host(std::uint64_t aSeed)
    : m_reader({}, aSeed, m_cache, m_events)
  {
  }
};

/// Hosts and a registry to which events happen in a drawn order: changes, lost
/// history, calls that are answered early, late, from an old copy or not at
/// all, updates between hosts that arrive in any order and twice, and restarts.
class DrawnEvents
{
public:
  explicit DrawnEvents(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_model(m_random)
    , m_hosts(kHosts)
  {
    m_model.Change(m_now);
    for (auto& host : m_hosts) {
      Restart(host);
    }
  }

  /// Like Step, with a registry that is now and then restored.
  void StepWithRestores()
  {
    if (Draw(40) == 0) {
      m_model.Restore(Draw(kOldestCopy));
    }
    Step();
    for (const auto& host : m_hosts) {
      const std::uint64_t version = host->m_cache.CurrentGlobal().m_version;
      EXPECT_GE(version, host->m_version) << "the configuration reverted";
      host->m_version = version;
    }
  }

  /// The operator writes a configuration again, and the time passes for which
  /// facts are kept.
  void EndRestores()
  {
    m_model.Reconfigure(m_now);
    for (auto& host : m_hosts) {
      host->m_call.reset();
      host->m_answer.reset();
      host->m_reader.OnFailure(
        { base::ResultCode::PlatformUnavailable, "lost" }, m_now);
    }
    m_isRestored = true;
  }

  void Step()
  {
    auto& host = m_hosts[Draw(kHosts)];
    const std::uint64_t event = Draw(100);
    if (event < 22) {
      m_model.Change(m_now);
    } else if (event < 24) {
      m_model.DropHistory();
    } else if (event < 25) {
      Restart(host);
    } else if (event < 40) {
      Call(*host);
    } else if (event < 55) {
      Answer(*host);
    } else if (event < 70) {
      Arrive(*host);
    } else if (event < 80) {
      SendUpdate(*host);
    } else if (event < 92) {
      ReceiveUpdate();
    } else {
      Pass(Draw(25) == 0 ? 80s : 400ms);
    }
  }

  /// Checks that each host's state is that of the revision it claims to know,
  /// in each part or a later one, and that this revision was the latest at the
  /// time as of which the host claims to be current.
  void ExpectTrueClaims() const
  {
    for (const auto& host : m_hosts) {
      if (host->m_cache.HasCompleteListing()) {
        ExpectKnown(*host);
        const auto asOf = host->m_reader.LearnedAt() - host->m_onTheWay;
        EXPECT_GE(host->m_reader.Revision(), m_model.RevisionBefore(asOf));
      }
    }
  }

  /// Nothing fails or changes any more, and hosts only hear of each other that
  /// nothing is new. Checks that all come to know the latest state.
  void ExpectRecovery()
  {
    m_updates.clear();
    const int rounds = m_isRestored ? kRestoredRounds : kRecoveryRounds;
    for (int round = 0; round < rounds; ++round) {
      for (auto& host : m_hosts) {
        for (int call = 0; call < kCallsARound; ++call) {
          Call(*host);
          Answer(*host);
          Arrive(*host, true);
        }
        SendUpdate(*host);
      }
      while (!m_updates.empty()) {
        ReceiveUpdate();
      }
      Pass(400ms);
    }
    for (const auto& host : m_hosts) {
      const registry::RegistryRevision latest(m_model.Epoch(),
                                              m_model.Revision());
      EXPECT_EQ(host->m_reader.Revision(), latest);
      EXPECT_EQ(host->m_cache.KeptCount(), 0U);
      EXPECT_TRUE(host->m_reader.IsConfirmed());
      EXPECT_EQ(StateOf(host->m_cache), m_model.At(m_model.Revision()));
    }
  }

private:
  struct Sent
  {
    std::size_t m_to = 0;
    RegistryUpdate m_update;
    base::Instant m_at;
    base::Duration m_onTheWay{ 0 };
  };

  void Restart(std::unique_ptr<Host>& aHost)
  {
    aHost = std::make_unique<Host>(m_random());
    aHost->m_reader.SetMaxUpdateAge(Draw(2) == 0 ? 0ms : 1800ms);
  }

  void Call(Host& aHost)
  {
    if (aHost.m_call) {
      return;
    }
    const ReaderCall call = aHost.m_reader.Next(m_now);
    if (call.m_kind != Kind::None) {
      aHost.m_call = call;
      aHost.m_answer.reset();
    }
  }

  /// The registry answers; the answer has yet to arrive.
  void Answer(Host& aHost)
  {
    if (!aHost.m_call || aHost.m_answer) {
      return;
    }
    aHost.m_answeredAt = m_now;
    if (aHost.m_call->m_kind == Kind::Watch) {
      aHost.m_answer = m_model.Watch(aHost.m_call->m_revision.m_number);
      return;
    }
    const std::uint64_t lag =
      aHost.m_call->m_mayBeStale ? Draw(kOldestCopy + 1) : 0;
    aHost.m_answer =
      m_model.List(aHost.m_call->m_afterKey,
                   m_model.Revision() - std::min(lag, m_model.Revision() - 1),
                   kPageLength);
  }

  void Arrive(Host& aHost, bool aIsSure = false)
  {
    if (!aHost.m_call || !aHost.m_answer) {
      return;
    }
    aHost.m_call.reset();
    aHost.m_onTheWay = std::max(aHost.m_onTheWay, m_now - aHost.m_answeredAt);
    if (!aIsSure && Draw(8) == 0) {
      aHost.m_reader.OnFailure(
        { base::ResultCode::PlatformUnavailable, "lost" }, m_now);
    } else if (const auto* page =
                 std::get_if<registry::Page>(&*aHost.m_answer)) {
      aHost.m_reader.OnPage(*page, m_now);
    } else {
      ArriveWatch(aHost, std::get<registry::WatchResult>(*aHost.m_answer));
    }
    aHost.m_answer.reset();
  }

  void ArriveWatch(Host& aHost, const registry::WatchResult& aResult)
  {
    if (const auto* changes = std::get_if<registry::Changes>(&aResult)) {
      aHost.m_reader.OnChanges(*changes, m_now);
    } else {
      aHost.m_reader.OnFailure(std::get<registry::CallFailure>(aResult), m_now);
    }
  }

  /// A host sends another one what it lacks, by what it had just now or some
  /// time before.
  void SendUpdate(const Host& aFrom)
  {
    const std::size_t to = Draw(kHosts);
    const registry::RegistryRevision known =
      m_hosts[to]->m_cache.PullFrom(m_now);
    const bool isOlder = Draw(4) == 0;
    const registry::RegistryRevision since{ known.m_epoch,
                                            isOlder ? Draw(known.m_number + 1)
                                                    : known.m_number };
    const auto update = aFrom.m_reader.UpdateSince(since, m_now);
    if (update) {
      m_updates.push_back({ to, *update, m_now, aFrom.m_onTheWay });
    }
  }

  void ReceiveUpdate()
  {
    if (m_updates.empty()) {
      return;
    }
    const std::size_t at = Draw(m_updates.size());
    const Sent sent = m_updates[at];
    Host& host = *m_hosts[sent.m_to];
    host.m_reader.OnPeerUpdate(sent.m_update, m_now);
    host.m_onTheWay =
      std::max(host.m_onTheWay, sent.m_onTheWay + (m_now - sent.m_at));
    const bool comesAgain = Draw(6) == 0;
    if (!comesAgain) {
      m_updates.erase(m_updates.begin() + static_cast<std::ptrdiff_t>(at));
    }
  }

  void Pass(base::Duration aSpan)
  {
    m_now += aSpan;
    for (auto& host : m_hosts) {
      host->m_cache.Tick(m_now);
    }
  }

  void ExpectKnown(const Host& aHost) const
  {
    const ServedState has = StateOf(aHost.m_cache);
    const std::uint64_t from = aHost.m_reader.Revision().m_number;
    const auto holds = [&](const auto& aPart) {
      for (std::uint64_t i = from; i <= m_model.Revision(); ++i) {
        if (aPart(m_model.At(i)) == aPart(has)) {
          return true;
        }
      }
      return false;
    };
    for (const char* id : { "i-1", "i-2", "i-3", "i-4", "i-5" }) {
      EXPECT_TRUE(holds([id](const ServedState& aState) {
        const auto found = aState.m_servers.find(id);
        return found == aState.m_servers.end() ? std::nullopt
                                               : std::optional(found->second);
      }))
        << id;
    }
    for (const char* zone : { "a", "b" }) {
      EXPECT_TRUE(holds([zone](const ServedState& aState) {
        return aState.m_zonesOut.contains(zone);
      }))
        << zone;
    }
    EXPECT_TRUE(holds([](const ServedState& aState) {
      return std::pair(aState.m_version, aState.m_routes);
    }))
      << "version " << has.m_version;
  }

  std::uint64_t Draw(std::uint64_t aBelow) { return m_random() % aBelow; }

  std::mt19937_64 m_random;
  base::Instant m_now = At(0);
  RegistryModel m_model;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::vector<Sent> m_updates;
  bool m_isRestored = false;
};

} // namespace

TEST(RegistryOrder, HostsKnowWhatTheyClaimWhateverTheOrderOfEvents)
{
  // Guards against hosts that claim to know changes they have missed, and so
  // keep dropped routes and servers that have left on other hosts.
  std::vector<std::uint64_t> seeds(kSeeds);
  std::iota(seeds.begin(), seeds.end(), 1);
  // A route that was removed, came back and was removed again.
  seeds.push_back(8532);
  for (const std::uint64_t seed : seeds) {
    SCOPED_TRACE(seed);
    DrawnEvents events(seed);
    for (int step = 0; step < kSteps; ++step) {
      events.Step();
      events.ExpectTrueClaims();
      if (testing::Test::HasFailure()) {
        FAIL() << "at step " << step;
      }
    }
    events.ExpectRecovery();
    if (testing::Test::HasFailure()) {
      FAIL() << "after the last step";
    }
  }
}

TEST(RegistryOrder, HostsAgreeWithARegistryThatWasRestored)
{
  // Guards against hosts that compare revisions of different epochs: they keep
  // what the restored registry no longer holds, or miss what is written in it.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    DrawnEvents events(seed);
    for (int step = 0; step < kSteps; ++step) {
      events.StepWithRestores();
      if (testing::Test::HasFailure()) {
        FAIL() << "at step " << step;
      }
    }
    events.EndRestores();
    events.ExpectRecovery();
    if (testing::Test::HasFailure()) {
      FAIL() << "after the last step";
    }
  }
}

} // namespace wasabiloom::tests
