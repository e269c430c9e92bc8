/// Response times of backend servers, derived from callers' packets.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace wasabiloom::placing {

/// Weight of a new sample in the moving average.
constexpr double kSampleWeight = 0.15;

/// Age after which an average without a new sample is discarded.
constexpr base::Duration kLatencyLife = std::chrono::seconds(4);

/// Number of response times that were added since an earlier time.
struct SampleCount
{
  std::uint32_t m_token = 0;
  std::uint32_t m_samples = 0;

  friend auto operator<=>(const SampleCount&, const SampleCount&) = default;
};

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

  /// Returns the number of samples of each server with any since the last call
  /// of RestartCount, in no order.
  std::vector<SampleCount> Counts(base::Instant aNow) const;

  /// Restarts the count of samples of the server `aToken`.
  void RestartCount(std::uint32_t aToken);

  /// Removes averages that are older than kLatencyLife.
  void Sweep(base::Instant aNow);

private:
  struct Average
  {
    double m_nanoseconds = 0;
    base::Instant m_at;
    std::uint32_t m_samples = 0;
  };

  std::unordered_map<std::uint32_t, Average> m_averages;
};

} // namespace wasabiloom::placing
