#include "wasabiloom/placing/Placement.h"

#include "wasabiloom/base/Hash.h"
#include "wasabiloom/placing/SlowStart.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wasabiloom::placing {

namespace {

/// Number of candidates up to which the quartile needs no allocation.
constexpr std::size_t kUsualCandidates = 72;

/// First quartile of the known values of `aTime`; zero if none is known. The
/// median would be that of a slow server when most servers are slow.
base::Duration
FirstQuartile(std::span<const Candidate> aCandidates,
              base::Duration Candidate::*aTime)
{
  boost::container::small_vector<base::Duration, kUsualCandidates> known;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.*aTime > base::Duration::zero()) {
      known.push_back(candidate.*aTime);
    }
  }
  if (known.empty()) {
    return base::Duration::zero();
  }
  const auto quartile =
    known.begin() + static_cast<std::ptrdiff_t>(known.size() / 4);
  std::nth_element(known.begin(), quartile, known.end());
  return *quartile;
}

bool
IsUsable(const Candidate& aCandidate, std::uint32_t aAvoid)
{
  return aCandidate.m_token != aAvoid && !aCandidate.m_suspect &&
         !aCandidate.m_cold;
}

/// Whether the candidate gets a limited share of the flows.
bool
IsLimited(const Candidate& aCandidate, std::uint32_t aAvoid)
{
  const bool isCold = aCandidate.m_cold && aCandidate.m_coldAllowed &&
                      !aCandidate.m_suspect && aCandidate.m_token != aAvoid;
  return isCold || (IsUsable(aCandidate, aAvoid) && aCandidate.m_share < 1);
}

/// Salts of the hash, so that draws are independent of each other.
constexpr std::uint64_t kShareSalt = 0x5a5e;
constexpr std::uint64_t kSpeedSalt = 0x59ed;

double
LoadOf(const Candidate& aCandidate, base::Duration aReference)
{
  const double slots = std::max<std::uint32_t>(aCandidate.m_slots, 1);
  const double requests =
    aCandidate.m_activeRequests + kOpenFlowLoad * aCandidate.m_openFlows;
  double behind = 0;
  if (aReference > base::Duration::zero()) {
    const double multiple = static_cast<double>(aCandidate.m_latency.count()) /
                            static_cast<double>(aReference.count());
    behind = std::max(0.0, multiple - kOrdinaryLatency);
  }
  const double distance = aCandidate.m_sameZone ? 0 : kZoneDistance;
  return requests / slots + behind + distance;
}

PlaceReason
ReasonOf(const Candidate& aChosen)
{
  if (aChosen.m_suspect) {
    return PlaceReason::OnlySuspect;
  }
  return aChosen.m_cold ? PlaceReason::OnlyCold : PlaceReason::LeastLoad;
}

/// Whether the speeds of most usable candidates are known and their quartiles
/// differ. The extremes of many candidates differ by chance.
bool
HaveDifferentSpeeds(std::span<const Candidate> aCandidates,
                    std::uint32_t aAvoid)
{
  std::size_t usable = 0;
  boost::container::small_vector<base::Duration, kUsualCandidates> known;
  for (const Candidate& candidate : aCandidates) {
    if (!IsUsable(candidate, aAvoid)) {
      continue;
    }
    ++usable;
    if (candidate.m_serviceTime > base::Duration::zero()) {
      known.push_back(candidate.m_serviceTime);
    }
  }
  if (known.size() < 2 || known.size() * 2 <= usable) {
    return false;
  }
  const auto quartile = [&](std::size_t aNumber) {
    const auto at =
      known.begin() + static_cast<std::ptrdiff_t>(known.size() * aNumber / 4);
    std::nth_element(known.begin(), at, known.end());
    return static_cast<double>(at->count());
  };
  return quartile(3) > kOrdinaryLatency * quartile(1);
}

/// Service time relative to `aReference`; 1 if either is not known.
double
RelativeTime(const Candidate& aCandidate, base::Duration aReference)
{
  const bool isKnown = aCandidate.m_serviceTime > base::Duration::zero() &&
                       aReference > base::Duration::zero();
  return isKnown ? static_cast<double>(aCandidate.m_serviceTime.count()) /
                     static_cast<double>(aReference.count())
                 : 1;
}

/// Expected time of a further request that adds `aNext` to those in progress.
double
ExpectedTime(const Candidate& aCandidate,
             base::Duration aReference,
             double aNext)
{
  const double slots = std::max<std::uint32_t>(aCandidate.m_slots, 1);
  const double requests =
    aCandidate.m_activeRequests + kOpenFlowLoad * aCandidate.m_openFlows;
  return (requests + aNext) / slots * RelativeTime(aCandidate, aReference);
}

/// The usable candidate with the full share that has the least expected time.
/// The flow's random number selects within each zone class; the zones are
/// compared without it, so that it moves no flow to another zone.
const Candidate*
Fastest(std::span<const Candidate> aCandidates,
        std::uint32_t aAvoid,
        std::uint64_t aHash)
{
  const base::Duration reference =
    FirstQuartile(aCandidates, &Candidate::m_serviceTime);
  const Candidate* near = nullptr;
  const Candidate* far = nullptr;
  double nearTime = 0;
  double farTime = 0;
  for (const Candidate& candidate : aCandidates) {
    if (!IsUsable(candidate, aAvoid) || candidate.m_share < 1) {
      continue;
    }
    const double draw =
      base::PointOf(base::Combine(aHash ^ kSpeedSalt, candidate.m_token));
    const double time = ExpectedTime(candidate, reference, -std::log1p(-draw));
    const Candidate*& best = candidate.m_sameZone ? near : far;
    double& bestTime = candidate.m_sameZone ? nearTime : farTime;
    if (best == nullptr || time < bestTime) {
      best = &candidate;
      bestTime = time;
    }
  }
  if (near == nullptr || far == nullptr) {
    return near == nullptr ? far : near;
  }
  return ExpectedTime(*near, reference, 0) <=
             ExpectedTime(*far, reference, 0) + kZoneDistance
           ? near
           : far;
}

/// Sums over the candidates among which a flow is drawn.
struct ShareSums
{
  double m_full = 0;
  double m_ramping = 0;
  double m_cold = 0;
  double m_paused = 0;
  /// Number of candidates with the full share or ramping up, and the largest
  /// share of the latter.
  double m_count = 0;
  double m_largest = 0;

  void Add(const Candidate& aCandidate, bool aIsLimited)
  {
    if (!aIsLimited) {
      ++m_full;
      ++m_count;
    } else if (aCandidate.m_cold) {
      m_cold += aCandidate.m_share;
    } else if (aCandidate.m_share <= kPausedShare) {
      m_paused += aCandidate.m_share;
    } else {
      m_ramping += aCandidate.m_share;
      m_largest = std::max(m_largest, aCandidate.m_share);
      ++m_count;
    }
  }

  /// Factor of the shares of ramping candidates that keeps the extra load of
  /// the others within kMaxExtraLoad, and no share above 1.
  double Scale() const
  {
    return m_ramping > 0
             ? std::clamp((m_count / kMaxExtraLoad - m_full) / m_ramping,
                          1.0,
                          1 / m_largest)
             : 1;
  }

  double Total() const
  {
    return m_full + Scale() * m_ramping + m_cold + m_paused;
  }
};

/// The candidate with a limited share that the flow's hash draws; null if it
/// draws one of the others.
const Candidate*
DrawLimited(std::span<const Candidate> aCandidates,
            std::uint32_t aAvoid,
            std::uint64_t aHash)
{
  const bool hasNear = std::ranges::any_of(aCandidates, [&](const auto& aOne) {
    return aOne.m_sameZone && IsUsable(aOne, aAvoid);
  });
  // A cold server competes with the warm ones, whichever zone they are in.
  const auto takesPart = [&](const Candidate& aOne) {
    return aOne.m_cold || aOne.m_sameZone == hasNear;
  };
  ShareSums sums;
  for (const Candidate& candidate : aCandidates) {
    const bool isLimited = IsLimited(candidate, aAvoid);
    if (takesPart(candidate) && (isLimited || IsUsable(candidate, aAvoid))) {
      sums.Add(candidate, isLimited);
    }
  }
  const double scale = sums.Scale();
  double point = sums.Total() * base::PointOf(base::Combine(aHash, kShareSalt));
  for (const Candidate& candidate : aCandidates) {
    if (!takesPart(candidate) || !IsLimited(candidate, aAvoid)) {
      continue;
    }
    const bool isScaled = !candidate.m_cold && candidate.m_share > kPausedShare;
    const double weight = candidate.m_share * (isScaled ? scale : 1);
    if (point < weight) {
      return &candidate;
    }
    point -= weight;
  }
  return nullptr;
}

} // namespace

std::optional<Placement>
Place(std::span<const Candidate> aCandidates,
      std::uint32_t aAvoid,
      std::uint64_t aHash)
{
  const base::Duration reference =
    FirstQuartile(aCandidates, &Candidate::m_latency);
  const auto rank = [&](const Candidate& aCandidate) {
    return std::tuple(aCandidate.m_token == aAvoid,
                      aCandidate.m_suspect,
                      aCandidate.m_cold,
                      aCandidate.m_share < 1,
                      LoadOf(aCandidate, reference),
                      base::Combine(aHash, aCandidate.m_token));
  };
  const auto least = std::ranges::min_element(aCandidates, {}, rank);
  if (least == aCandidates.end()) {
    return std::nullopt;
  }
  const Candidate* best = &*least;
  if (HaveDifferentSpeeds(aCandidates, aAvoid)) {
    const Candidate* fastest = Fastest(aCandidates, aAvoid, aHash);
    best = fastest == nullptr ? best : fastest;
  }
  const Candidate* drawn = DrawLimited(aCandidates, aAvoid, aHash);
  if (drawn != nullptr) {
    const bool isOther = IsUsable(*best, aAvoid) && best->m_share >= 1;
    if (!isOther || LoadOf(*drawn, reference) <= LoadOf(*best, reference)) {
      return Placement{ drawn->m_token,
                        isOther ? PlaceReason::LeastLoad : ReasonOf(*drawn) };
    }
  }
  return Placement{ best->m_token, ReasonOf(*best) };
}

std::string_view
ToString(PlaceReason aReason)
{
  switch (aReason) {
    case PlaceReason::LeastLoad:
      return "least_load";
    case PlaceReason::OnlyCold:
      return "only_cold";
    case PlaceReason::OnlySuspect:
      return "only_suspect";
  }
  return "unlisted";
}

} // namespace wasabiloom::placing
