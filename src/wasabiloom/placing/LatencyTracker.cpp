#include "wasabiloom/placing/LatencyTracker.h"

namespace wasabiloom::placing {

void
LatencyTracker::AddSample(std::uint32_t aToken,
                          base::Duration aSpan,
                          base::Instant aNow)
{
  const auto sample = static_cast<double>(aSpan.count());
  Average& average = m_averages[aToken];
  const bool isFresh =
    average.m_nanoseconds > 0 && aNow - average.m_at <= kLatencyLife;
  average.m_nanoseconds =
    isFresh
      ? average.m_nanoseconds + kSampleWeight * (sample - average.m_nanoseconds)
      : sample;
  average.m_samples = isFresh ? average.m_samples + 1 : 1;
  average.m_at = aNow;
}

base::Duration
LatencyTracker::AverageFor(std::uint32_t aToken, base::Instant aNow) const
{
  const auto found = m_averages.find(aToken);
  if (found == m_averages.end() || aNow - found->second.m_at > kLatencyLife) {
    return base::Duration::zero();
  }
  return base::Duration(
    static_cast<base::Duration::rep>(found->second.m_nanoseconds));
}

std::vector<SampleCount>
LatencyTracker::Counts(base::Instant aNow) const
{
  std::vector<SampleCount> counts;
  for (const auto& [token, average] : m_averages) {
    if (average.m_samples > 0 && aNow - average.m_at <= kLatencyLife) {
      counts.push_back({ token, average.m_samples });
    }
  }
  return counts;
}

void
LatencyTracker::RestartCount(std::uint32_t aToken)
{
  const auto found = m_averages.find(aToken);
  if (found != m_averages.end()) {
    found->second.m_samples = 0;
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
