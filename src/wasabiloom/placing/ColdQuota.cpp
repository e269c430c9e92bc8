#include "wasabiloom/placing/ColdQuota.h"

#include "wasabiloom/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace wasabiloom::placing {

void
ColdQuota::SetHosts(const HostPosition& aPosition, base::Instant aNow)
{
  if (m_firstAt == base::Instant{}) {
    m_firstAt = aNow;
    m_periodSince = aNow;
  }
  if (aNow - m_periodSince > kHostCountMemory) {
    m_largestBefore = m_largest;
    m_largest = 1;
    m_periodSince = aNow;
  }
  m_position = aPosition;
  m_largest = std::max(m_largest, aPosition.m_count);
}

std::uint32_t
ColdQuota::AssumedHosts() const
{
  return std::max(
    { m_largest, m_largestBefore, kPartitionSides * m_position.m_count });
}

std::uint32_t
ColdQuota::PacketsPerSecond(std::uint32_t aToken, double aPerSecond) const
{
  if (aPerSecond <= 0 || m_position.m_count == 0) {
    return 0;
  }
  // The hosts that know each other share whole packets: a part of a packet for
  // each would allow all of them one in the same second.
  const double allowance = aPerSecond * kColdFactor + kColdMargin;
  const auto ours = static_cast<std::uint32_t>(
    std::floor(allowance * m_position.m_count / AssumedHosts()));
  const auto turn = static_cast<std::uint32_t>(
    (base::Mix(aToken) + m_position.m_rank) % m_position.m_count);
  const std::uint32_t rest = ours % m_position.m_count;
  return ours / m_position.m_count + (turn < rest ? 1 : 0);
}

bool
ColdQuota::MaySend(std::uint32_t aToken,
                   double aPerSecond,
                   base::Instant aNow) const
{
  const bool isSettled =
    m_firstAt != base::Instant{} && aNow - m_firstAt >= kHostCountSettling;
  const std::uint32_t packets = PacketsPerSecond(aToken, aPerSecond);
  if (!isSettled || packets == 0) {
    return false;
  }
  const auto last = m_sentAt.find(aToken);
  return last == m_sentAt.end() ||
         aNow - last->second >= kQuotaInterval / packets;
}

void
ColdQuota::OnSent(std::uint32_t aToken, base::Instant aNow)
{
  m_sentAt[aToken] = aNow;
  ++m_sent;
}

void
ColdQuota::Sweep(base::Instant aNow)
{
  std::erase_if(m_sentAt, [&](const auto& aEntry) {
    return aNow - aEntry.second > kQuotaInterval;
  });
}

} // namespace wasabiloom::placing
