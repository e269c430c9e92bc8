/// Requests that one host has running on each backend server.
#pragma once

#include "wasabiloom/steering/TargetDirectory.h"

#include <cstdint>
#include <map>
#include <set>

namespace wasabiloom::request {

/// Counts this host's own requests and picks the backend server with the
/// fewest. One thread at a time.
class InFlightCounts
{
public:
  /// Notes a dispatch to, or the end of one on, `aSlot`.
  void Increment(steering::TargetIndex aSlot) { ++m_inFlight[aSlot]; }
  void Decrement(steering::TargetIndex aSlot) { --m_inFlight[aSlot]; }

  /// Backend server that takes new work, has a slot left by this host's count,
  /// is not in `aExcept` and runs the fewest; ties are broken by `aSeed`.
  /// kNoSlot without one.
  steering::TargetIndex PickLeastLoaded(
    const steering::TargetDirectory& aDirectory,
    const std::set<steering::TargetIndex>& aExcept,
    std::uint64_t aSeed) const;

private:
  std::map<steering::TargetIndex, std::uint32_t> m_inFlight;
};

} // namespace wasabiloom::request
