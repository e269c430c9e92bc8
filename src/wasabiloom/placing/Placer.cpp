#include "wasabiloom/placing/Placer.h"

#include "wasabiloom/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace wasabiloom::placing {

namespace {

double
LoadOf(const Candidate& aCandidate)
{
  const double slots = std::max<std::uint32_t>(aCandidate.m_slots, 1);
  const double distance = aCandidate.m_sameZone ? 0 : kZoneDistance;
  return aCandidate.m_flows / slots + distance;
}

PlaceReason
ReasonOf(const Candidate& aChosen)
{
  if (aChosen.m_suspect) {
    return PlaceReason::OnlySuspect;
  }
  return aChosen.m_cold ? PlaceReason::OnlyCold : PlaceReason::LeastFlows;
}

} // namespace

std::optional<Placement>
Place(std::span<const Candidate> aCandidates,
      std::uint32_t aAvoid,
      std::uint64_t aHash)
{
  const auto rank = [&](const Candidate& aCandidate) {
    return std::tuple(aCandidate.m_token == aAvoid,
                      aCandidate.m_suspect,
                      aCandidate.m_cold,
                      LoadOf(aCandidate),
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
    case PlaceReason::LeastFlows:
      return "least_flows";
    case PlaceReason::OnlyCold:
      return "only_cold";
    case PlaceReason::OnlySuspect:
      return "only_suspect";
  }
  return "unlisted";
}

} // namespace wasabiloom::placing
