#include "wasabiloom/request/InFlightCounts.h"

#include <optional>
#include <utility>

namespace wasabiloom::request {

steering::TargetIndex
InFlightCounts::PickLeastLoaded(const steering::TargetDirectory& aDirectory,
                                const std::set<steering::TargetIndex>& aExcept,
                                std::uint64_t aSeed) const
{
  using Rank = std::pair<std::uint32_t, std::uint64_t>;
  steering::TargetIndex best = steering::kNoTargetIndex;
  std::optional<Rank> bestRank;
  for (std::size_t i = 0; i < aDirectory.Size(); ++i) {
    const auto slot = static_cast<steering::TargetIndex>(i);
    const steering::TargetInfo& target = aDirectory.At(slot);
    const auto found = m_inFlight.find(slot);
    const std::uint32_t load = found == m_inFlight.end() ? 0 : found->second;
    if (!target.m_acceptsNewWork || load >= target.m_requestSlots ||
        aExcept.contains(slot)) {
      continue;
    }
    const Rank rank{ load, base::Combine(aSeed, target.m_id.m_value) };
    if (!bestRank || rank < *bestRank) {
      best = slot;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace wasabiloom::request
