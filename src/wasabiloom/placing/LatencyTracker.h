/// Response times of backend servers, derived from callers' packets.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/placing/SharedLoad.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wasabiloom::placing {

/// Weight of a new sample in the moving average.
constexpr double kSampleWeight = 0.15;

/// Age after which an average without a new sample is discarded.
constexpr base::Duration kLatencyLife = std::chrono::seconds(4);

/// Number of responses that tell the speed of a server. The work of requests
/// varies by half or so, and the average of this many by about a tenth; servers
/// of unequal speed should be equally busy within 15%.
constexpr std::uint32_t kSpeedSamples = 8;

/// Number of own responses that an average rests on at most, as older ones have
/// little weight.
constexpr std::uint32_t kMaxSamples = 12;

/// An average response time, and the number of responses that it rests on.
struct LatencyAverage
{
  base::Duration m_latency{ 0 };
  std::uint32_t m_samples = 0;

  bool TellsSpeed() const { return m_samples >= kSpeedSamples; }

  friend auto operator<=>(const LatencyAverage&,
                          const LatencyAverage&) = default;
};

/// Returns the average of `aOwn` and of other hosts' responses. Thread safe.
LatencyAverage
Merge(const LatencyAverage& aOwn,
      const std::optional<ServerObservation>& aObserved);

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
  base::Duration AverageFor(std::uint32_t aToken, base::Instant aNow) const
  {
    return Average(aToken, aNow).m_latency;
  }

  /// Returns the same with the number of samples.
  LatencyAverage Average(std::uint32_t aToken, base::Instant aNow) const;

  /// Returns the number of samples of each server with any since the last call
  /// of RestartCount, in no order.
  std::vector<SampleCount> Counts(base::Instant aNow) const;

  /// Restarts the count of samples of the server `aToken`.
  void RestartCount(std::uint32_t aToken);

  /// Removes averages that are older than kLatencyLife.
  void Sweep(base::Instant aNow);

private:
  struct Record
  {
    double m_nanoseconds = 0;
    std::uint32_t m_samples = 0;
    /// Samples since the last call of RestartCount.
    std::uint32_t m_unreported = 0;
    base::Instant m_at;
  };

  std::unordered_map<std::uint32_t, Record> m_averages;
};

} // namespace wasabiloom::placing
