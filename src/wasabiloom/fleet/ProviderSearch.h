/// Searches a provider of the registry's facts for a host that starts or that
/// the registry no longer answers.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/fleet/LocalFacts.h"
#include "wasabiloom/fleet/Message.h"
#include "wasabiloom/fleet/SwimMembership.h"

#include <optional>
#include <random>
#include <vector>

namespace wasabiloom::fleet {

/// Intervals between two requests for a provider: until a host has answered, as
/// none of those asked may have started yet; after an answer, as the directory
/// then keeps the request; and when the start is over.
constexpr base::Duration kAskPause = std::chrono::milliseconds(40);
constexpr base::Duration kAskPauseNoted = std::chrono::milliseconds(320);
constexpr base::Duration kAskPauseLate = std::chrono::milliseconds(600);

/// Time after which the start of a host is over.
constexpr base::Duration kStartSpan = std::chrono::seconds(2);

/// Interval at which a host that knows the facts announces this again, during
/// the start, to seed hosts that it has not heard of.
constexpr base::Duration kSayPause = std::chrono::milliseconds(80);

/// Number of members that are asked in addition to the seed hosts of the
/// settings.
constexpr std::size_t kOthersAsked = 2;

/// A host of at least kMinListingCapacity lists the registry within this time
/// after its start.
constexpr base::Duration kListSoon = std::chrono::milliseconds(10);

/// Hosts of lower capacity, and all hosts when enough others are listing, list
/// the registry at a random time between these two after their start, unless a
/// provider has given them the facts by then.
constexpr base::Duration kListLateFrom = std::chrono::milliseconds(250);
constexpr base::Duration kListLateTo = std::chrono::milliseconds(400);

/// While other hosts report that they wait for the first configuration in the
/// registry, a host defers its own listing by this time after each report.
constexpr base::Duration kWaitsForOthers = std::chrono::milliseconds(900);

/// A provider that has not answered a pull within this time is given up.
constexpr base::Duration kTellerTimeout = std::chrono::milliseconds(200);

/// Sends the messages of the search.
class SearchOutbox
{
public:
  virtual ~SearchOutbox();

  /// Sends `aContent` to the host at `aTo`.
  virtual void SendContent(base::Ipv4Address aTo, const Content& aContent) = 0;

  /// Requests from `aFrom` all facts after `aRevision`.
  /// ProviderSearch::OnPullFailed follows when the request fails.
  virtual void PullInitialFacts(
    base::Ipv4Address aFrom,
    const registry::RegistryRevision& aRevision) = 0;
};

/// Asks the seed hosts and some members for a provider until this host knows
/// the facts, then announces that it can provide them. Decides when the host
/// lists the registry itself. Not thread safe.
class ProviderSearch
{
public:
  /// The references must outlive the search. `aSeed` differs between hosts.
  ProviderSearch(std::uint64_t aSeed,
                 const SwimMembership& aRoster,
                 LocalFacts& aFacts,
                 SearchOutbox& aOutbox);

  /// Sets the seed hosts, which are asked first. This host's own address is
  /// left out.
  void SetSeedHosts(std::vector<base::Ipv4Address> aFirst);

  /// Starts the search. Call it when the host starts.
  void Begin(base::Instant aNow);

  /// Repeats requests and announcements that are due. `aIsCutOff`: the registry
  /// has not answered this host for some time.
  void Tick(bool aIsCutOff, base::Instant aNow);

  /// Handles the answer of a directory to a request for a provider.
  void OnProviders(const Providers& aProviders, base::Instant aNow);

  /// Handles the failure of a pull from a provider.
  void OnPullFailed(base::Instant aNow);

private:
  void Ask(base::Instant aNow);
  /// Asks for the facts that peers keep in spite of a restored registry.
  void CollectKept(base::Instant aNow);
  /// Defers the first listing to `aUntil`; never moves it to an earlier time.
  void Hold(base::Instant aUntil);
  base::Duration AskPause(base::Instant aNow) const;
  /// Ends the search and announces that this host can provide the facts.
  void Finish(base::Instant aNow);
  /// Repeats the announcement to seed hosts that may have missed it.
  void SayAgain(base::Instant aNow);
  /// Returns the hosts to ask: the seed hosts and a random sample of members.
  std::vector<base::Ipv4Address> Boards();
  base::Duration Draw(base::Duration aFrom, base::Duration aTo);

  std::mt19937_64 m_random;
  const SwimMembership& m_roster;
  LocalFacts& m_facts;
  SearchOutbox& m_outbox;
  std::vector<base::Ipv4Address> m_first;
  bool m_searching = false;
  /// Whether a provider is wanted although this host is ready.
  bool m_collecting = false;
  bool m_noted = false;
  base::Instant m_begunAt;
  base::Instant m_saidAt;
  base::Instant m_askedAt;
  base::Instant m_heldUntil;
  std::optional<base::Instant> m_pullingSince;
};

} // namespace wasabiloom::fleet
