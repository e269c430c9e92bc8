/// Response times of backend servers, derived from callers' packets.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>
#include <unordered_map>

namespace wasabiloom::placing {

/// Weight of a new sample in the moving average.
constexpr double kSampleWeight = 0.15;

/// Age after which an average without a new sample is discarded.
constexpr base::Duration kLatencyLife = std::chrono::seconds(4);

/// Exponential moving averages of response times by server token. Not thread
/// safe.
class LatencyTracker
{
public:
  /// Adds the response time `aSpan` of one request to the average of the
  /// server `aToken`.
  void AddSample(std::uint32_t aToken,
                 base::Duration aSpan,
                 base::Instant aNow);

  /// Returns the average of the server `aToken`, or zero if it has none that
  /// is younger than kLatencyLife.
  base::Duration AverageFor(std::uint32_t aToken, base::Instant aNow) const;

  /// Removes averages that are older than kLatencyLife.
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
