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

void
LatencyTracker::Sweep(base::Instant aNow)
{
  std::erase_if(m_averages, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_at > kLatencyLife;
  });
}

} // namespace wasabiloom::placing
