#include "wasabiloom/placing/PassiveHealthCheck.h"

#include <algorithm>

namespace wasabiloom::placing {

namespace {

constexpr std::uint32_t kMaxDoublings = 4;

} // namespace

void
PassiveHealthCheck::Raise(HealthRecord& aHealth, base::Instant aNow)
{
  if (aNow < aHealth.m_until) {
    return;
  }
  const std::uint32_t doublings = std::min(aHealth.m_raised, kMaxDoublings);
  ++aHealth.m_raised;
  aHealth.m_until =
    aNow + std::min(kFirstSuspicion * (1U << doublings), kMaxSuspicion);
}

void
PassiveHealthCheck::OnOpeningRetransmitted(std::uint32_t aToken,
                                           base::Instant aNow)
{
  HealthRecord& health = m_known[aToken];
  health.m_failsOpenings = true;
  Raise(health, aNow);
}

void
PassiveHealthCheck::OnDataRetransmitted(std::uint32_t aToken,
                                        base::Instant aNow)
{
  HealthRecord& health = m_known[aToken];
  ++health.m_stalls;
  if (health.m_stalls >= kStallsForSuspicion) {
    health.m_stalls = 0;
    Raise(health, aNow);
  }
}

void
PassiveHealthCheck::OnResponse(std::uint32_t aToken, base::Instant aNow)
{
  HealthRecord& health = m_known[aToken];
  health = HealthRecord{};
  health.m_aliveAt = aNow;
}

void
PassiveHealthCheck::Sweep(base::Instant aNow)
{
  std::erase_if(m_known, [&](const auto& aEntry) {
    const HealthRecord& health = aEntry.second;
    return aNow - std::max(health.m_until, health.m_aliveAt) >
           kHealthRecordLife;
  });
}

bool
PassiveHealthCheck::IsSuspect(std::uint32_t aToken, base::Instant aNow) const
{
  const auto found = m_known.find(aToken);
  return found != m_known.end() && aNow < found->second.m_until;
}

std::vector<std::uint32_t>
PassiveHealthCheck::FailingOpenings(base::Instant aNow) const
{
  std::vector<std::uint32_t> tokens;
  for (const auto& [token, health] : m_known) {
    if (health.m_failsOpenings && aNow < health.m_until) {
      tokens.push_back(token);
    }
  }
  return tokens;
}

base::Instant
PassiveHealthCheck::LastResponseAt(std::uint32_t aToken) const
{
  const auto found = m_known.find(aToken);
  return found == m_known.end() ? base::Instant{} : found->second.m_aliveAt;
}

} // namespace wasabiloom::placing
