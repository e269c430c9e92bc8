#include "wasabiloom/placing/SlowStart.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace wasabiloom::placing {

namespace {

/// Weight of a response in the average of a service, which thus follows about
/// the last twenty responses.
constexpr double kNormalWeight = 0.05;

constexpr base::Instant kNever{};

base::Duration
PauseAfter(std::uint32_t aFailures)
{
  return aFailures == 0 ? base::Duration::zero()
                        : kFirstPause * (1U << (aFailures - 1));
}

double
FirstShareAfter(std::uint32_t aFailures)
{
  return kFirstShare / static_cast<double>(1U << aFailures);
}

} // namespace

std::string_view
ToString(RampCause aCause)
{
  switch (aCause) {
    case RampCause::Started:
      return "started";
    case RampCause::Warm:
      return "warm";
    case RampCause::Returned:
      return "returned";
    case RampCause::HeardAgain:
      return "heard_again";
  }
  return "unlisted";
}

std::string_view
ToString(RampStage aStage)
{
  switch (aStage) {
    case RampStage::Began:
      return "ramp_began";
    case RampStage::Full:
      return "ramp_full";
    case RampStage::Failed:
      return "ramp_failed";
  }
  return "unlisted";
}

std::uint64_t
SlowStart::KeyOf(const base::Endpoint& aAddress)
{
  return (std::uint64_t{ aAddress.m_address.m_bits } << 16U) | aAddress.m_port;
}

double
SlowStart::FirstShareOf(const base::Endpoint& aAddress,
                        base::Instant aNow) const
{
  const auto found = m_failures.find(KeyOf(aAddress));
  const bool counts =
    found != m_failures.end() && aNow - found->second.m_at <= kForgivenAfter;
  return FirstShareAfter(counts ? found->second.m_count : 0);
}

bool
SlowStart::IsNewlyUsable(const ServerSighting& aServer,
                         const Ramp* aRamp,
                         base::Instant aNow) const
{
  const base::Instant since =
    std::max(aServer.m_listedSince, aServer.m_coldUntil);
  const bool isRecent = since > m_knownSince && aNow - since <= kForgivenAfter;
  return isRecent && (aRamp == nullptr || aRamp->m_usableSince < since);
}

double
SlowStart::ShareOf(const ServerSighting& aServer,
                   const std::optional<ServerObservation>& aObserved,
                   base::Instant aNow)
{
  if (aNow < aServer.m_coldUntil) {
    return FirstShareOf(aServer.m_address, aNow);
  }
  const auto found = m_ramps.find(aServer.m_token);
  Ramp* ramp = found == m_ramps.end() ? nullptr : &found->second;
  if (IsNewlyUsable(aServer, ramp, aNow)) {
    const bool wasCold = aServer.m_coldUntil > aServer.m_listedSince;
    const RampCause fresh = wasCold ? RampCause::Warm : RampCause::Started;
    Begin(aServer, ramp == nullptr ? fresh : RampCause::Returned, aNow);
    ramp = &m_ramps.at(aServer.m_token);
  }
  if (ramp == nullptr) {
    return 1;
  }
  if (ramp->m_suspectSince != kNever) {
    if (aServer.m_heardAt > ramp->m_suspectSince) {
      EndSuspicion(aServer, *ramp, aNow);
    } else if (WasHeardElsewhere(*ramp, aObserved)) {
      Begin(aServer, RampCause::HeardAgain, aNow);
    } else {
      return FirstShareOf(aServer.m_address, aNow);
    }
  }
  if (aNow < ramp->m_pausedUntil) {
    return kPausedShare;
  }
  if (!ramp->IsFull()) {
    Advance(aServer.m_token, *ramp, aObserved, aNow);
  }
  return ramp->m_share;
}

bool
SlowStart::WasHeardElsewhere(Ramp& aRamp,
                             const std::optional<ServerObservation>& aObserved)
{
  const std::uint32_t observed = aObserved ? aObserved->m_responses : 0;
  const bool hasNew = observed > aRamp.m_counted;
  aRamp.m_counted = observed;
  return hasNew && aObserved->m_failingHosts == 0;
}

void
SlowStart::EndSuspicion(const ServerSighting& aServer,
                        Ramp& aRamp,
                        base::Instant aNow)
{
  const bool wasBrief =
    aServer.m_heardAt - aRamp.m_heardBefore <= kBriefSilence;
  if (wasBrief) {
    aRamp.m_suspectSince = kNever;
  } else {
    Begin(aServer, RampCause::HeardAgain, aNow);
  }
}

void
SlowStart::Begin(const ServerSighting& aServer,
                 RampCause aCause,
                 base::Instant aNow)
{
  Ramp& ramp = m_ramps[aServer.m_token];
  if (!ramp.IsFull()) {
    ++m_totals.m_failed;
    Report(aServer.m_token, RampStage::Failed, ramp, aNow);
  }
  Failures& failures = m_failures[KeyOf(aServer.m_address)];
  const bool isRepeated =
    failures.m_at != kNever && aNow - failures.m_at <= kForgivenAfter;
  failures.m_count =
    isRepeated ? std::min(failures.m_count + 1, kMaxFailures) : 0;
  failures.m_at = aNow;
  const std::uint64_t service = ramp.m_service;
  ramp = Ramp{};
  ramp.m_service = service;
  ramp.m_address = aServer.m_address;
  ramp.m_cause = aCause;
  ramp.m_usableSince = std::max(aServer.m_listedSince, aServer.m_coldUntil);
  ramp.m_beganAt = aNow;
  ramp.m_failures = failures.m_count;
  ramp.m_first = FirstShareAfter(failures.m_count);
  ramp.m_share = ramp.m_first;
  ramp.m_limit = 2 * ramp.m_first;
  ramp.m_pausedUntil = aNow + PauseAfter(failures.m_count);
  ramp.m_limitSince = ramp.m_pausedUntil;
  ++m_totals.m_began;
  Report(aServer.m_token, RampStage::Began, ramp, aNow);
}

void
SlowStart::Advance(std::uint32_t aToken,
                   Ramp& aRamp,
                   const std::optional<ServerObservation>& aObserved,
                   base::Instant aNow)
{
  // Old reports expire, so the number can fall; only its rises are new.
  const std::uint32_t observed = aObserved ? aObserved->m_responses : 0;
  if (observed > aRamp.m_counted) {
    Count(
      aToken, aRamp, observed - aRamp.m_counted, aObserved->m_latency, aNow);
  }
  aRamp.m_counted = observed;
  if (aRamp.m_placedAt != kNever) {
    if (aNow - aRamp.m_placedAt > kMissingAfter) {
      aRamp.m_share = std::max(aRamp.m_share / 2, aRamp.m_first);
      aRamp.m_placedAt = aNow;
      aRamp.m_limitSince = aNow;
      aRamp.m_limit = 2 * aRamp.m_share;
    }
    return;
  }
  while (!aRamp.IsFull() && aNow - aRamp.m_limitSince >= kQuietDoublingTime) {
    aRamp.m_limitSince += kQuietDoublingTime;
    aRamp.m_share *= 2;
    aRamp.m_limit = 2 * aRamp.m_share;
  }
  if (aRamp.IsFull()) {
    Finish(aToken, aRamp, aNow);
  }
}

void
SlowStart::Count(std::uint32_t aToken,
                 Ramp& aRamp,
                 std::uint32_t aResponses,
                 base::Duration aSpan,
                 base::Instant aNow)
{
  if (aRamp.IsFull() || aNow < aRamp.m_pausedUntil) {
    return;
  }
  if (IsSlow(aRamp.m_service, aSpan)) {
    aRamp.m_share = std::max(aRamp.m_share * kSlowFactor, aRamp.m_first);
    return;
  }
  if (aNow - aRamp.m_limitSince >= kDoublingTime) {
    aRamp.m_limit = 2 * aRamp.m_share;
    aRamp.m_limitSince = aNow;
  }
  aRamp.m_share =
    std::min(aRamp.m_share + kGrowthPerResponse * aResponses, aRamp.m_limit);
  if (aRamp.IsFull()) {
    Finish(aToken, aRamp, aNow);
  }
}

void
SlowStart::Finish(std::uint32_t aToken, Ramp& aRamp, base::Instant aNow)
{
  aRamp.m_share = 1;
  // The time of good service after which failures no longer count begins now.
  m_failures[KeyOf(aRamp.m_address)].m_at = aNow;
  ++m_totals.m_full;
  Report(aToken, RampStage::Full, aRamp, aNow);
}

void
SlowStart::OnSuspected(const ServerSighting& aServer, base::Instant aNow)
{
  Ramp& ramp = m_ramps[aServer.m_token];
  ramp.m_address = aServer.m_address;
  ramp.m_usableSince = std::max(
    ramp.m_usableSince, std::max(aServer.m_listedSince, aServer.m_coldUntil));
  if (ramp.m_suspectSince != kNever &&
      aServer.m_heardAt > ramp.m_suspectSince) {
    EndSuspicion(aServer, ramp, aNow);
  }
  if (ramp.m_suspectSince == kNever) {
    ramp.m_suspectSince = aNow;
    // The responses that are known by now came before the suspicion.
    ramp.m_counted = std::numeric_limits<std::uint32_t>::max();
    ramp.m_heardBefore = aServer.m_heardAt;
  }
}

void
SlowStart::OnPlaced(std::uint32_t aToken, base::Instant aNow)
{
  const auto found = m_ramps.find(aToken);
  if (found != m_ramps.end() && found->second.m_placedAt == kNever) {
    found->second.m_placedAt = aNow;
  }
}

void
SlowStart::OnHeard(std::uint32_t aToken)
{
  const auto found = m_ramps.find(aToken);
  if (found != m_ramps.end()) {
    found->second.m_placedAt = kNever;
  }
}

void
SlowStart::OnResponse(std::uint32_t aToken,
                      std::uint64_t aService,
                      base::Duration aSpan,
                      base::Instant aNow)
{
  const auto found = m_ramps.find(aToken);
  if (found != m_ramps.end() && !found->second.IsFull()) {
    found->second.m_service = aService;
    Count(aToken, found->second, 1, aSpan, aNow);
    return;
  }
  const auto sample = static_cast<double>(aSpan.count());
  const auto [normal, isNew] = m_normal.try_emplace(aService, sample);
  normal->second += kNormalWeight * (sample - normal->second);
}

bool
SlowStart::IsSlow(std::uint64_t aService, base::Duration aSpan) const
{
  const auto normal = m_normal.find(aService);
  return normal != m_normal.end() &&
         static_cast<double>(aSpan.count()) > kSlowMultiple * normal->second;
}

void
SlowStart::Sweep(base::Instant aNow)
{
  std::erase_if(m_ramps, [&](const auto& aEntry) {
    const Ramp& ramp = aEntry.second;
    const base::Instant last =
      std::max({ ramp.m_usableSince, ramp.m_beganAt, ramp.m_suspectSince });
    return aNow - last > kForgivenAfter;
  });
  std::erase_if(m_failures, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_at > kForgivenAfter;
  });
}

std::vector<RampEvent>
SlowStart::TakeEvents()
{
  return std::exchange(m_events, {});
}

std::size_t
SlowStart::RampingCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_ramps, [](const auto& aEntry) {
      return !aEntry.second.IsFull() || aEntry.second.m_suspectSince != kNever;
    }));
}

void
SlowStart::Report(std::uint32_t aToken,
                  RampStage aStage,
                  const Ramp& aRamp,
                  base::Instant aNow)
{
  if (m_events.size() < kMaxRampEvents) {
    m_events.push_back({ aToken,
                         aStage,
                         aRamp.m_cause,
                         aRamp.m_failures,
                         aRamp.m_share,
                         aNow - aRamp.m_beganAt });
  }
}

} // namespace wasabiloom::placing
