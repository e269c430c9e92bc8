/// Decides which call to make on the registry, and when.
#pragma once

#include "wasabiloom/registry/RegistryCache.h"
#include "wasabiloom/registry/RegistryClient.h"
#include "wasabiloom/registry/RegistryUpdate.h"

#include <random>
#include <set>

namespace wasabiloom::registry {

/// Waits of a reader.
struct ReaderTiming
{
  /// Longest wait of one watch. Shorter than the time after which a host that
  /// lost its connection must know the news again.
  base::Duration m_watchWait = std::chrono::milliseconds(3500);
  /// How long an answer may take beyond the wait that was asked for.
  base::Duration m_answerTimeout = std::chrono::milliseconds(1200);
  /// From one answer with changes to the next watch.
  base::Duration m_pauseAfterChanges = std::chrono::milliseconds(900);
  /// First and longest pause after a failed call.
  base::Duration m_initialBackoff = std::chrono::milliseconds(150);
  base::Duration m_maxBackoff = std::chrono::milliseconds(1600);
  /// First pause of a host that stands by: others try sooner.
  base::Duration m_standbyInitialBackoff = std::chrono::milliseconds(1600);

  friend auto operator<=>(const ReaderTiming&, const ReaderTiming&) = default;
};

/// What the reader asks its driver to do next.
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
  /// Whether the page may be older than the registry's present state.
  bool m_mayBeStale = false;
  std::uint64_t m_revision = 0;
  base::Duration m_wait{ 0 };
  base::Duration m_timeout{ 0 };
};

/// What the reader tells of itself.
class ReaderEvents
{
public:
  virtual ~ReaderEvents();

  /// A fact came; the outcome says what became of it.
  virtual void OnFact(const Fact& aFact,
                      FactOutcome aOutcome,
                      Origin aOrigin) = 0;

  /// A call failed; `aFailures` in a row, the next one after `aPause`.
  virtual void OnCallFailed(const CallFailure& aFailure,
                            std::uint32_t aFailures,
                            base::Duration aPause) = 0;

  /// A call succeeded after failures, or for the first time.
  virtual void OnReachable(std::uint64_t aRevision) = 0;

  /// A listing is complete.
  virtual void OnListed(std::uint64_t aRevision, std::size_t aFacts) = 0;
};

/// What came of news.
enum class UpdateOutcome : std::uint8_t
{
  /// Something new was learned, or that nothing has changed.
  Applied,
  /// Older than what is known.
  Stale,
  /// It leaves out changes that are not known here.
  Gap,
};

/// Lists once, then watches; lists again when the history has gone. Makes one
/// call at a time, paces watches that bring changes, backs off with jitter
/// after failures. While others read on its behalf, it calls only when their
/// news stays away. One thread at a time.
class Reader
{
public:
  /// The references must outlive the reader. `aSeed` differs between hosts.
  Reader(const ReaderTiming& aTiming,
         std::uint64_t aSeed,
         RegistryCache& aBeliefs,
         ReaderEvents& aEvents);

  /// The call that is due at `aNow`, if any. After it, exactly one of the
  /// handlers below must be called before Next yields another one.
  ReaderCall Next(base::Instant aNow);

  void OnPage(const Page& aPage, base::Instant aNow);
  void OnChanges(const Changes& aChanges, base::Instant aNow);
  void OnFailure(const CallFailure& aFailure, base::Instant aNow);

  /// Takes in what a peer has learned.
  UpdateOutcome OnPeerUpdate(const RegistryUpdate& aNews, base::Instant aNow);

  /// What this host can tell a peer that knows all up to `aRevision`; empty
  /// when it knows too little itself.
  std::optional<RegistryUpdate> UpdateSince(std::uint64_t aRevision,
                                            base::Instant aNow) const;

  /// News without facts that says how fresh this host's knowledge is; empty
  /// when it knows too little itself.
  std::optional<RegistryUpdate> FreshnessUpdate(base::Instant aNow) const;

  /// Calls are made only when the last news is older than `aPatience`; zero
  /// for a host that reads on behalf of others. A host that stands by makes
  /// longer pauses after failures.
  void SetMaxUpdateAge(base::Duration aPatience, bool aStandsBy = false)
  {
    m_patience = aPatience;
    m_standsBy = aStandsBy;
  }

  /// A first listing begins no sooner than `aUntil`.
  void DelayFirstListing(base::Instant aUntil) { m_listNotBefore = aUntil; }

  /// Makes the next call due now, not earlier than `kHurryPause` after the
  /// last answer or news.
  void ExpediteNextCall(base::Instant aNow);

  /// Whether the facts known are those of the registry's present, not of a
  /// listing that may have been stale.
  bool IsConfirmed() const { return m_confirmed; }

  /// Revision up to which all changes are known; 0 before the first listing.
  std::uint64_t Revision() const { return m_revision; }

  /// When the registry last answered.
  base::Instant AnsweredAt() const { return m_answeredAt; }

  /// When the host last learned how things stand, from the registry or a
  /// peer; the epoch when never.
  base::Instant LearnedAt() const { return m_learnedAt; }

  /// Whether the last call failed.
  bool IsFailing() const { return m_failures > 0; }

private:
  void Take(const std::vector<Fact>& aFacts,
            Origin aOrigin,
            base::Instant aNow);
  void NoteAnswer(std::uint64_t aRevision, base::Instant aNow);
  void RestartListing();
  bool OthersRead(base::Instant aNow) const;

  ReaderTiming m_timing;
  std::mt19937_64 m_random;
  RegistryCache& m_beliefs;
  ReaderEvents& m_events;
  bool m_listing = true;
  bool m_inCall = false;
  bool m_reached = false;
  bool m_confirmed = false;
  bool m_mayBeStale = true;
  bool m_hurried = false;
  base::Duration m_patience{ 0 };
  bool m_standsBy = false;
  std::string m_after;
  std::uint64_t m_listRevision = 0;
  std::set<std::pair<FactKind, std::string>> m_found;
  std::uint64_t m_revision = 0;
  std::uint32_t m_failures = 0;
  base::Instant m_due;
  base::Instant m_listNotBefore;
  base::Instant m_answeredAt;
  base::Instant m_learnedAt;
};

/// Least time between an answer and a call that was hurried.
constexpr base::Duration kHurryPause = std::chrono::milliseconds(100);

} // namespace wasabiloom::registry
