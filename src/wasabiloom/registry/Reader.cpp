#include "wasabiloom/registry/Reader.h"

#include <algorithm>

namespace wasabiloom::registry {

namespace {

/// Limits the backoff factor to 256, so that a long series of failures can't
/// overflow the shift.
constexpr std::uint32_t kMaxDoublings = 8;

/// Whether a call that failed with `aCode` was answered, in a way that this
/// host can't use.
bool
IsAnswered(base::ResultCode aCode)
{
  return aCode == base::ResultCode::HistoryGone ||
         aCode == base::ResultCode::AnswerTooLarge ||
         aCode == base::ResultCode::RegistryMalformed;
}

} // namespace

Reader::Reader(const ReaderTiming& aTiming,
               std::uint64_t aSeed,
               RegistryCache& aCache,
               ReaderEvents& aEvents)
  : m_timing(aTiming)
  , m_random(aSeed)
  , m_cache(aCache)
  , m_events(aEvents)
{
}

ReaderCall
Reader::Next(base::Instant aNow)
{
  const bool lists = NeedsListing();
  const bool isHeld = lists && !m_reached && aNow < m_listNotBefore;
  if (m_inCall || aNow < m_due || isHeld || OthersRead(aNow)) {
    return {};
  }
  m_inCall = true;
  m_callEpoch = KnownEpoch();
  m_hurried = false;
  m_watchedRevision.reset();
  ReaderCall call;
  if (lists) {
    call.m_kind = ReaderCall::Kind::List;
    call.m_afterKey = m_listing.m_after;
    call.m_mayBeStale = m_mayBeStale;
    call.m_timeout = m_timing.m_answerTimeout;
    return call;
  }
  // A listing that was left unfinished does not go on after a watch.
  m_listing = {};
  m_watchedRevision = Revision();
  call.m_kind = ReaderCall::Kind::Watch;
  call.m_revision = Revision();
  // A watch returns without waiting after a failure, to learn soon whether the
  // registry responds again. So does a watch that confirms a listing, and one
  // that replaces the missing updates of other hosts.
  const bool atOnce =
    m_failures > 0 || !m_confirmed || m_maxUpdateAge > base::Duration::zero();
  call.m_wait = atOnce ? base::Duration::zero() : m_timing.m_watchWait;
  call.m_timeout = call.m_wait + m_timing.m_answerTimeout;
  return call;
}

void
Reader::OnPage(const Page& aPage, base::Instant aNow)
{
  if (!aPage.m_nextKey.empty() && aPage.m_nextKey == m_listing.m_after) {
    OnFailure({ base::ResultCode::RegistryMalformed, "page repeats its key" },
              aNow);
    return;
  }
  const std::uint64_t epoch = aPage.m_revision.m_epoch;
  if (epoch == 0 && m_callEpoch > 0) {
    Page stamped = aPage;
    SetEpoch(m_callEpoch, stamped);
    OnPage(stamped, aNow);
    return;
  }
  const bool isFirst = m_listing.m_after.empty();
  const bool isLater = NoteLaterEpoch(epoch);
  if (epoch < KnownEpoch() || (isLater && !isFirst)) {
    // The pages of a listing are of one epoch.
    m_listing = {};
    m_mayBeStale = false;
    OnFailure({ base::ResultCode::PlatformUnavailable,
                isLater ? "epoch changed within the listing"
                        : "page of an earlier epoch" },
              aNow);
    return;
  }
  m_cache.NoteEpoch(aPage.m_revision, aNow);
  m_inCall = false;
  m_due = aNow;
  NoteAnswer(aPage.m_revision, aNow);
  if (m_listing.m_after.empty()) {
    m_listing = { "", aPage.m_revision, {}, aNow };
  }
  TakePage(aPage, aNow);
  m_listing.m_after = aPage.m_nextKey;
  if (m_listing.m_after.empty()) {
    EndListing(aNow);
  }
}

void
Reader::TakePage(const Page& aPage, base::Instant aNow)
{
  m_listing.m_revision = std::min(m_listing.m_revision, aPage.m_revision);
  // A page that is older than what is known tells nothing. Its values may have
  // been removed since.
  const bool isOld = aPage.m_revision < Revision();
  for (const Fact& fact : aPage.m_facts) {
    m_listing.m_found.emplace(fact.m_kind, fact.m_name);
    const FactOutcome outcome =
      isOld ? FactOutcome::Stale : m_cache.Apply(fact, aNow, Origin::Listing);
    m_events.OnFact(fact, outcome, Origin::Listing);
  }
}

void
Reader::EndListing(base::Instant aNow)
{
  // The pages of a listing are no snapshot, so the watch starts at the revision
  // of the oldest page to receive what changed while the listing ran.
  const std::uint64_t before = Revision().m_epoch;
  m_cache.EndListing(m_listing.m_revision, m_listing.m_found, aNow);
  // A registry that refuses a watch from the known revision and lists an older
  // one is behind. It does not confirm what is known, and none of its changes
  // are applied.
  const bool isBehind =
    m_unwatchableRevision == Revision() && m_listing.m_revision < Revision();
  m_unwatchableRevision.reset();
  if (!m_mayBeStale && !isBehind) {
    m_confirmed = true;
    m_learnedAt = std::max(m_learnedAt, m_listing.m_begunAt);
  }
  m_events.OnListed(m_listing.m_revision, m_listing.m_found.size());
  NoteAdopted(before);
  m_listing = {};
}

void
Reader::OnChanges(const Changes& aChanges, base::Instant aNow)
{
  const std::uint64_t epoch = aChanges.m_revision.m_epoch;
  if (epoch == 0 && m_callEpoch > 0) {
    Changes stamped = aChanges;
    SetEpoch(m_callEpoch, stamped);
    OnChanges(stamped, aNow);
    return;
  }
  if (epoch < m_callEpoch) {
    OnFailure(
      { base::ResultCode::PlatformUnavailable, "changes of an earlier epoch" },
      aNow);
    return;
  }
  if (m_watchedRevision && aChanges.m_revision < *m_watchedRevision) {
    OnFailure({ base::ResultCode::HistoryGone,
                "watch ends at revision " + ToString(aChanges.m_revision) +
                  " after " + ToString(*m_watchedRevision) },
              aNow);
    return;
  }
  m_inCall = false;
  NoteAnswer(aChanges.m_revision, aNow);
  NoteLaterEpoch(epoch);
  if (epoch > m_callEpoch) {
    // The changes follow the watched number of another epoch.
    m_due = aNow;
    return;
  }
  const UpdateOutcome outcome = m_cache.Learn(
    { m_watchedRevision.value_or(Revision()), aChanges.m_revision },
    aChanges.m_facts,
    Origin::Watch,
    aNow,
    m_events);
  if (outcome == UpdateOutcome::Applied) {
    m_confirmed = true;
    m_learnedAt = aNow;
    m_refusals = 0;
  }
  m_due = aChanges.m_facts.empty() ? aNow : aNow + m_timing.m_pauseAfterChanges;
}

void
Reader::OnFailure(const CallFailure& aFailure, base::Instant aNow)
{
  m_inCall = false;
  NoteLaterEpoch(aFailure.m_epoch);
  if (m_watchedRevision && IsAnswered(aFailure.m_code)) {
    // A watch from this revision would fail again.
    m_unwatchableRevision = m_watchedRevision;
    NoteRefusal(*m_watchedRevision);
  } else if (aFailure.m_code == base::ResultCode::HistoryGone) {
    // So would the page of the listing.
    m_listing = {};
    NoteRefusal(Revision());
  }
  ++m_failures;
  const std::uint32_t doublings = std::min(m_failures - 1, kMaxDoublings);
  const base::Duration first =
    m_standsBy ? m_timing.m_standbyInitialBackoff : m_timing.m_initialBackoff;
  const base::Duration longest = std::max(first, m_timing.m_maxBackoff);
  const base::Duration pause = std::min(first * (1U << doublings), longest);
  std::uniform_int_distribution<base::Duration::rep> jitter(pause.count() / 2,
                                                            pause.count());
  const base::Duration chosen{ jitter(m_random) };
  m_due = aNow + chosen;
  m_events.OnCallFailed(aFailure, m_failures, chosen);
}

void
Reader::NoteRefusal(const RegistryRevision& aRevision)
{
  if (aRevision != m_refusedRevision) {
    m_refusals = 0;
  }
  m_mayBeStale = false;
  m_refusedRevision = aRevision;
  // The first refusal is answered by a listing, which need not wait long.
  m_failures = m_refusals++;
}

UpdateOutcome
Reader::OnPeerUpdate(const RegistryUpdate& aUpdate, base::Instant aNow)
{
  const std::uint64_t before = Revision().m_epoch;
  m_cache.NoteEpoch(aUpdate.m_epochFirst, aNow - aUpdate.m_epochAge);
  const UpdateOutcome outcome =
    m_cache.Learn({ aUpdate.m_fromRevision, aUpdate.m_toRevision },
                  aUpdate.m_facts,
                  Origin::Peer,
                  aNow,
                  m_events);
  if (outcome != UpdateOutcome::Applied) {
    return outcome;
  }
  NoteAdopted(before);
  m_learnedAt = std::max(m_learnedAt, aNow - aUpdate.m_age);
  m_confirmed = true;
  if (aUpdate.m_age < m_maxUpdateAge) {
    // Another host reaches the registry on behalf of this one.
    m_failures = 0;
  }
  return UpdateOutcome::Applied;
}

std::optional<RegistryUpdate>
Reader::FreshnessUpdate(base::Instant aNow) const
{
  if (!m_confirmed || !m_cache.IsComplete()) {
    return std::nullopt;
  }
  RegistryUpdate update{ Revision(), Revision(), aNow - m_learnedAt, {} };
  const EpochStart& epoch = m_cache.Epoch();
  if (Revision().m_epoch > 0 && epoch.Epoch() == Revision().m_epoch) {
    update.m_epochFirst = epoch.First();
    update.m_epochAge = aNow - epoch.Since();
  }
  return update;
}

std::optional<RegistryUpdate>
Reader::UpdateSince(const RegistryRevision& aRevision, base::Instant aNow) const
{
  auto update = FreshnessUpdate(aNow);
  if (!update) {
    return std::nullopt;
  }
  const auto changed = m_cache.FactsSince(aRevision, aNow);
  update->m_fromRevision = changed ? aRevision : RegistryRevision{};
  update->m_facts = changed ? *changed : *m_cache.FactsSince({}, aNow);
  return update;
}

bool
Reader::NeedsListing() const
{
  return !m_cache.HasCompleteListing() || m_unwatchableRevision == Revision() ||
         m_answeredEpoch > Revision().m_epoch;
}

bool
Reader::OthersRead(base::Instant aNow) const
{
  return m_confirmed && !NeedsListing() && !m_hurried && m_failures == 0 &&
         aNow - m_learnedAt < m_maxUpdateAge;
}

void
Reader::ExpediteNextCall(base::Instant aNow)
{
  if (m_failures == 0) {
    m_hurried = true;
    const base::Instant last = std::max(m_answeredAt, m_learnedAt);
    m_due = std::min(m_due, std::max(aNow, last + kHurryPause));
  }
}

std::uint64_t
Reader::KnownEpoch() const
{
  return std::max(m_answeredEpoch, Revision().m_epoch);
}

bool
Reader::NoteLaterEpoch(std::uint64_t aEpoch)
{
  if (aEpoch <= KnownEpoch()) {
    return false;
  }
  m_answeredEpoch = aEpoch;
  // An old copy of the registry may still be in an earlier epoch.
  m_mayBeStale = m_mayBeStale && !m_cache.HasCompleteListing();
  return true;
}

void
Reader::NoteAdopted(std::uint64_t aEpochBefore)
{
  if (Revision().m_epoch > aEpochBefore) {
    m_events.OnEpoch(Revision(), m_cache.KeptCount());
  }
}

void
Reader::NoteAnswer(const RegistryRevision& aRevision, base::Instant aNow)
{
  m_answeredAt = aNow;
  if (m_failures > 0 || !m_reached) {
    m_events.OnReachable(aRevision);
  }
  m_failures = 0;
  m_reached = true;
}

} // namespace wasabiloom::registry
