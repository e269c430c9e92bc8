/// Counts the requests that this host has in flight on each backend server.
#pragma once

#include "wasabiloom/steering/TargetDirectory.h"

#include <cstdint>
#include <map>
#include <set>

namespace wasabiloom::request {

/// Counts only this host's own requests, not those of other hosts. Not thread
/// safe: at most one thread at a time.
class InFlightCounts
{
public:
  /// Counts a request that is sent to `aSlot`.
  void Increment(steering::TargetIndex aSlot) { ++m_inFlight[aSlot]; }

  /// Counts a request that ended on `aSlot`. Precondition: a call of Increment
  /// for the same slot that no other call of Decrement matches.
  void Decrement(steering::TargetIndex aSlot) { --m_inFlight[aSlot]; }

  /// Returns the backend server with the fewest requests in flight among those
  /// that accept new work, have a free slot by this host's count and are not
  /// in `aExcept`. `aSeed` breaks ties. Returns kNoTargetIndex if there is
  /// none.
  steering::TargetIndex PickLeastLoaded(
    const steering::TargetDirectory& aDirectory,
    const std::set<steering::TargetIndex>& aExcept,
    std::uint64_t aSeed) const;

private:
  std::map<steering::TargetIndex, std::uint32_t> m_inFlight;
};

} // namespace wasabiloom::request
