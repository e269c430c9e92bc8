/// Decides which registry call to make next, and when. Performs no I/O itself.
#pragma once

#include "wasabiloom/registry/RegistryCache.h"
#include "wasabiloom/registry/RegistryClient.h"
#include "wasabiloom/registry/RegistryUpdate.h"

#include <optional>
#include <random>

namespace wasabiloom::registry {

/// Timeouts and delays of a Reader.
struct ReaderTiming
{
  /// How long the registry may hold a watch without changes. It is shorter than
  /// the time within which a host must be up to date again after it lost its
  /// connection.
  base::Duration m_watchWait = std::chrono::milliseconds(3500);
  /// How long a response may take beyond the wait that the call asked for.
  base::Duration m_answerTimeout = std::chrono::milliseconds(1200);
  /// Delay between a watch that returned changes and the next watch.
  base::Duration m_pauseAfterChanges = std::chrono::milliseconds(900);
  /// Initial and maximum backoff after failed calls.
  base::Duration m_initialBackoff = std::chrono::milliseconds(150);
  base::Duration m_maxBackoff = std::chrono::milliseconds(1600);
  /// Initial backoff of a standby host. It is longer because other hosts retry
  /// sooner.
  base::Duration m_standbyInitialBackoff = std::chrono::milliseconds(1600);

  friend auto operator<=>(const ReaderTiming&, const ReaderTiming&) = default;
};

/// The call that the reader wants its driver to make next.
struct ReaderCall
{
  enum class Kind : std::uint8_t
  {
    None,
    List,
    Watch,
  };

  Kind m_kind = Kind::None;
  std::string m_afterKey;
  /// Whether a List call may return a page that is older than the registry's
  /// current state.
  bool m_mayBeStale = false;
  RegistryRevision m_revision;
  base::Duration m_wait{ 0 };
  base::Duration m_timeout{ 0 };
};

/// Receives the events of a Reader. Called from within the reader's methods.
class ReaderEvents : public FactEvents
{
public:
  /// A call failed. `aFailures` counts the failures in a row, this one
  /// included; the next call is made no sooner than after `aPause`.
  virtual void OnCallFailed(const CallFailure& aFailure,
                            std::uint32_t aFailures,
                            base::Duration aPause) = 0;

  /// A call succeeded for the first time or after failures.
  virtual void OnReachable(const RegistryRevision& aRevision) = 0;

  /// The facts known here are those of a new epoch of the registry, which was
  /// restored; `aKept` of them are kept in spite of the restored state.
  virtual void OnEpoch(const RegistryRevision& aRevision,
                       std::size_t aKept) = 0;

  /// A listing that began at `aRevision` is complete; it returned `aFacts`
  /// facts with different names.
  virtual void OnListed(const RegistryRevision& aRevision,
                        std::size_t aFacts) = 0;
};

/// An answer of a later epoch than the known one makes the reader list again;
/// one of an earlier epoch than was known at the call counts as a failed call.
/// An answer that names no epoch is taken as one of the epoch known at the
/// call.
///
/// Lists the registry once and then watches it for changes; lists again when
/// the registry has dropped the history that the watch needs, or this host
/// can't use the watch's answer, unless other hosts report later changes. Makes
/// one call at a time, delays the next watch after one that returned changes,
/// and backs off with jitter after failures. While other hosts read the
/// registry on behalf of this one, it calls the registry only when their
/// updates stop. Not thread safe: use it from one thread at a time.
class Reader
{
public:
  /// The references must outlive the reader. `aSeed` seeds the backoff jitter
  /// and must differ between hosts.
  Reader(const ReaderTiming& aTiming,
         std::uint64_t aSeed,
         RegistryCache& aCache,
         ReaderEvents& aEvents);

  /// Returns the call that is due at `aNow`, or one of kind None. After a call
  /// was returned, Next returns None until exactly one of OnPage, OnChanges and
  /// OnFailure has reported its result.
  ReaderCall Next(base::Instant aNow);

  void OnPage(const Page& aPage, base::Instant aNow);
  void OnChanges(const Changes& aChanges, base::Instant aNow);
  void OnFailure(const CallFailure& aFailure, base::Instant aNow);

  /// Applies an update from another host.
  UpdateOutcome OnPeerUpdate(const RegistryUpdate& aUpdate, base::Instant aNow);

  /// Returns an update for a host that knows all changes up to `aRevision`. The
  /// update holds all current facts, from revision 0 on, when the changes since
  /// `aRevision` are incomplete here. Empty until this host is confirmed and
  /// its facts are complete.
  std::optional<RegistryUpdate> UpdateSince(const RegistryRevision& aRevision,
                                            base::Instant aNow) const;

  /// Returns an update without facts that tells this host's revision and the
  /// age of its knowledge. Empty until this host is confirmed and its facts are
  /// complete.
  std::optional<RegistryUpdate> FreshnessUpdate(base::Instant aNow) const;

  /// Makes the reader call the registry only when its knowledge is older than
  /// `aMaxUpdateAge`; zero for a host that reads on behalf of others. With
  /// `aStandsBy`, the backoff after failures starts at the standby value.
  void SetMaxUpdateAge(base::Duration aMaxUpdateAge, bool aStandsBy = false)
  {
    m_maxUpdateAge = aMaxUpdateAge;
    m_standsBy = aStandsBy;
  }

  /// Delays a listing until `aUntil` as long as no call has succeeded yet.
  void DelayFirstListing(base::Instant aUntil) { m_listNotBefore = aUntil; }

  /// Makes the next call due at `aNow`, or `kHurryPause` after the last
  /// response or update if that is later, even where other hosts' updates are
  /// recent. A call that is due sooner is not delayed. Has no effect while
  /// calls fail.
  void ExpediteNextCall(base::Instant aNow);

  /// Returns whether the known facts were current when they were last received.
  /// A listing that may be stale is confirmed by a watch or by another host's
  /// update.
  bool IsConfirmed() const { return m_confirmed; }

  /// Returns the revision up to which all changes are known; 0 before the first
  /// listing or update.
  RegistryRevision Revision() const { return m_cache.History().End(); }

  /// Returns when a call to the registry last succeeded; the epoch if never.
  base::Instant AnsweredAt() const { return m_answeredAt; }

  /// Returns the time at which the known facts were last current, by a response
  /// of the registry or an update from another host; the epoch if never.
  base::Instant LearnedAt() const { return m_learnedAt; }

  /// Returns whether the last call failed, and no other host's update has shown
  /// since that the registry can be reached.
  bool IsFailing() const { return m_failures > 0; }

private:
  /// A listing in progress.
  struct Listing
  {
    /// Key after which the next page begins; empty before the first page.
    std::string m_after;
    /// Revision of the oldest page. Pages can be of different age, also a later
    /// page older than an earlier one.
    RegistryRevision m_revision;
    FactNames m_found;
    base::Instant m_begunAt;
  };

  /// Latest epoch that an answer or another host has named.
  std::uint64_t KnownEpoch() const;
  /// Notes the epoch of an answer. Returns whether it is later than the known
  /// one, so that the registry must be listed from the beginning.
  bool NoteLaterEpoch(std::uint64_t aEpoch);
  void NoteAdopted(std::uint64_t aEpochBefore);
  void TakePage(const Page& aPage, base::Instant aNow);
  void EndListing(base::Instant aNow);
  void NoteAnswer(const RegistryRevision& aRevision, base::Instant aNow);
  /// Counts a call that the registry refused while `aRevision` was known and
  /// that only a new listing can replace.
  void NoteRefusal(const RegistryRevision& aRevision);
  /// Whether the registry must be listed: nothing is known yet, or the changes
  /// after the known revision can't be watched.
  bool NeedsListing() const;
  bool OthersRead(base::Instant aNow) const;

  ReaderTiming m_timing;
  std::mt19937_64 m_random;
  RegistryCache& m_cache;
  ReaderEvents& m_events;
  bool m_inCall = false;
  bool m_reached = false;
  bool m_confirmed = false;
  bool m_mayBeStale = true;
  bool m_hurried = false;
  base::Duration m_maxUpdateAge{ 0 };
  bool m_standsBy = false;
  Listing m_listing;
  /// Revision that the watch in progress was called with, if one is.
  std::optional<RegistryRevision> m_watchedRevision;
  /// Revision after which a watch can't be answered, or only in a way that this
  /// host can't use. A watch is possible again once a later revision is known.
  std::optional<RegistryRevision> m_unwatchableRevision;
  /// Latest epoch that the registry's answers to this host have named.
  std::uint64_t m_answeredEpoch = 0;
  /// Epoch that was known when the call in progress was made.
  std::uint64_t m_callEpoch = 0;
  /// Refused calls in a row for m_refusedRevision. A listing does not reset
  /// them, so that the pauses grow while listings don't help.
  std::uint32_t m_refusals = 0;
  RegistryRevision m_refusedRevision;
  std::uint32_t m_failures = 0;
  base::Instant m_due;
  base::Instant m_listNotBefore;
  base::Instant m_answeredAt;
  base::Instant m_learnedAt;
};

/// Minimum time between the last response or update and a call expedited by
/// Reader::ExpediteNextCall.
constexpr base::Duration kHurryPause = std::chrono::milliseconds(100);

} // namespace wasabiloom::registry
