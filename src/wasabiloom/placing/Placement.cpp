#include "wasabiloom/placing/Placement.h"

#include "wasabiloom/base/Hash.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <tuple>

namespace wasabiloom::placing {

namespace {

/// Number of candidates up to which the quartile needs no allocation.
constexpr std::size_t kUsualCandidates = 72;

/// First quartile of the known response times; zero if none is known. The
/// median would be that of a slow server when most servers are slow.
base::Duration
ReferenceLatency(std::span<const Candidate> aCandidates)
{
  boost::container::small_vector<base::Duration, kUsualCandidates> known;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.m_latency > base::Duration::zero()) {
      known.push_back(candidate.m_latency);
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

} // namespace

std::optional<Placement>
Place(std::span<const Candidate> aCandidates,
      std::uint32_t aAvoid,
      std::uint64_t aHash)
{
  const base::Duration reference = ReferenceLatency(aCandidates);
  const auto rank = [&](const Candidate& aCandidate) {
    return std::tuple(aCandidate.m_token == aAvoid,
                      aCandidate.m_suspect,
                      aCandidate.m_cold,
                      LoadOf(aCandidate, reference),
                      base::Combine(aHash, aCandidate.m_token));
  };
  const auto best = std::ranges::min_element(aCandidates, {}, rank);
  if (best == aCandidates.end()) {
    return std::nullopt;
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
