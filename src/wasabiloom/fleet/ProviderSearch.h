/// How a host that starts comes by the registry's facts.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/fleet/LocalFacts.h"
#include "wasabiloom/fleet/Message.h"
#include "wasabiloom/fleet/SwimMembership.h"

#include <optional>
#include <random>
#include <vector>

namespace wasabiloom::fleet {

/// Pauses between two askings: while no board has answered, as it may not have
/// started yet; while a board remembers the host; and long after the start.
constexpr base::Duration kAskPause = std::chrono::milliseconds(40);
constexpr base::Duration kAskPauseNoted = std::chrono::milliseconds(320);
constexpr base::Duration kAskPauseLate = std::chrono::milliseconds(600);

/// A start is over after so long.
constexpr base::Duration kStartSpan = std::chrono::seconds(2);

/// A host that knows the facts says so again to first hosts that it has not
/// heard of, so often during the start.
constexpr base::Duration kSayPause = std::chrono::milliseconds(80);

/// Members that are asked besides the first hosts of the settings.
constexpr std::size_t kOthersAsked = 2;

/// A capable host lists the registry within this span of its start.
constexpr base::Duration kListSoon = std::chrono::milliseconds(10);

/// Other hosts, and capable ones when enough others list, do so when nobody
/// has told them anything between these two spans after their start.
constexpr base::Duration kListLateFrom = std::chrono::milliseconds(250);
constexpr base::Duration kListLateTo = std::chrono::milliseconds(400);

/// While others wait for the registry's first configuration, a host waits so
/// long after each word from them.
constexpr base::Duration kWaitsForOthers = std::chrono::milliseconds(900);

/// A teller that has not answered for so long is given up.
constexpr base::Duration kTellerTimeout = std::chrono::milliseconds(200);

/// Where a search sends.
class SearchOutbox
{
public:
  virtual ~SearchOutbox();

  /// Sends `aContent` to the host at `aTo`.
  virtual void SendContent(base::Ipv4Address aTo, const Content& aContent) = 0;

  /// Asks `aFrom` for all facts after `aRevision`; OnPullFailed follows when
  /// it does not tell them.
  virtual void PullInitialFacts(base::Ipv4Address aFrom,
                                std::uint64_t aRevision) = 0;
};

/// Asks the first hosts and some members for a teller until the host knows
/// the facts, then says that it can tell them. Decides when the host lists
/// the registry itself. One thread at a time.
class ProviderSearch
{
public:
  /// The references must outlive the search. `aSeed` differs between hosts.
  ProviderSearch(std::uint64_t aSeed,
                 const SwimMembership& aRoster,
                 LocalFacts& aFacts,
                 SearchOutbox& aOutbox);

  /// Hosts to ask first.
  void SetSeedHosts(std::vector<base::Ipv4Address> aFirst);

  /// Begins at the start of the host.
  void Begin(base::Instant aNow);

  /// Time passed. `aIsCutOff`: the registry has failed this host for some
  /// time.
  void Tick(bool aIsCutOff, base::Instant aNow);

  /// A board names tellers.
  void OnProviders(const Providers& aTellers, base::Instant aNow);

  /// The teller that was asked gave nothing.
  void OnPullFailed(base::Instant aNow);

private:
  void Ask(base::Instant aNow);
  /// Puts a first listing off, never forward.
  void Hold(base::Instant aUntil);
  base::Duration AskPause(base::Instant aNow) const;
  void Finish(base::Instant aNow);
  void SayAgain(base::Instant aNow);
  std::vector<base::Ipv4Address> Boards();
  base::Duration Draw(base::Duration aFrom, base::Duration aTo);

  std::mt19937_64 m_random;
  const SwimMembership& m_roster;
  LocalFacts& m_facts;
  SearchOutbox& m_outbox;
  std::vector<base::Ipv4Address> m_first;
  bool m_searching = false;
  bool m_noted = false;
  base::Instant m_begunAt;
  base::Instant m_saidAt;
  base::Instant m_askedAt;
  base::Instant m_heldUntil;
  std::optional<base::Instant> m_pullingSince;
};

} // namespace wasabiloom::fleet
