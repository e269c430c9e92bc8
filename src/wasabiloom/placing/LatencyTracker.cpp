#include "wasabiloom/placing/LatencyTracker.h"

#include <algorithm>

namespace wasabiloom::placing {

LatencyAverage
Merge(const LatencyAverage& aOwn,
      const std::optional<ServerObservation>& aObserved)
{
  if (!aObserved || aObserved->m_responses == 0 ||
      aObserved->m_latency <= base::Duration::zero()) {
    return aOwn;
  }
  const std::uint32_t samples = aOwn.m_samples + aObserved->m_responses;
  const double part = static_cast<double>(aOwn.m_samples) / samples;
  const double nanoseconds =
    part * static_cast<double>(aOwn.m_latency.count()) +
    (1 - part) * static_cast<double>(aObserved->m_latency.count());
  return { base::Duration(static_cast<base::Duration::rep>(nanoseconds)),
           samples };
}

void
LatencyTracker::AddSample(std::uint32_t aToken,
                          base::Duration aSpan,
                          base::Instant aNow)
{
  const auto sample = static_cast<double>(aSpan.count());
  Record& average = m_averages[aToken];
  const bool isFresh =
    average.m_nanoseconds > 0 && aNow - average.m_at <= kLatencyLife;
  average.m_nanoseconds =
    isFresh
      ? average.m_nanoseconds + kSampleWeight * (sample - average.m_nanoseconds)
      : sample;
  average.m_samples =
    isFresh ? std::min(average.m_samples + 1, kMaxSamples) : 1;
  average.m_unreported = isFresh ? average.m_unreported + 1 : 1;
  average.m_at = aNow;
}

LatencyAverage
LatencyTracker::Average(std::uint32_t aToken, base::Instant aNow) const
{
  const auto found = m_averages.find(aToken);
  if (found == m_averages.end() || aNow - found->second.m_at > kLatencyLife) {
    return {};
  }
  const Record& record = found->second;
  return { base::Duration(
             static_cast<base::Duration::rep>(record.m_nanoseconds)),
           record.m_samples };
}

std::vector<SampleCount>
LatencyTracker::Counts(base::Instant aNow) const
{
  std::vector<SampleCount> counts;
  for (const auto& [token, average] : m_averages) {
    if (average.m_unreported > 0 && aNow - average.m_at <= kLatencyLife) {
      counts.push_back({ token, average.m_unreported });
    }
  }
  return counts;
}

void
LatencyTracker::RestartCount(std::uint32_t aToken)
{
  const auto found = m_averages.find(aToken);
  if (found != m_averages.end()) {
    found->second.m_unreported = 0;
  }
}

void
LatencyTracker::Sweep(base::Instant aNow)
{
  std::erase_if(m_averages, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_at > kLatencyLife;
  });
}

} // namespace wasabiloom::placing
