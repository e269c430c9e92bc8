/// Answer times of backend servers, as this host's callers see them.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>
#include <unordered_map>

namespace wasabiloom::placing {

/// Part of a new sample in the average.
constexpr double kSampleWeight = 0.15;

/// An average that was not renewed for so long is forgotten.
constexpr base::Duration kLatencyLife = std::chrono::seconds(4);

/// Moving averages by token. One thread at a time.
class LatencyTracker
{
public:
  /// A request at `aToken` was answered within `aSpan`.
  void AddSample(std::uint32_t aToken,
                 base::Duration aSpan,
                 base::Instant aNow);

  /// The average, or zero when there is none that is fresh.
  base::Duration AverageFor(std::uint32_t aToken, base::Instant aNow) const;

  /// Forgets averages that are no longer fresh.
  void Sweep(base::Instant aNow);

private:
  struct Average
  {
    double m_nanoseconds = 0;
    base::Instant m_at;
  };

  std::unordered_map<std::uint32_t, Average> m_averages;
};

} // namespace wasabiloom::placing
