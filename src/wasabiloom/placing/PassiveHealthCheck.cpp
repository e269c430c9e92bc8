#include "wasabiloom/placing/PassiveHealthCheck.h"

#include <algorithm>

namespace wasabiloom::placing {

namespace {

constexpr std::uint32_t kMaxDoublings = 4;

} // namespace

void
PassiveHealthCheck::Raise(Doubt& aDoubt, base::Instant aNow)
{
  if (aNow < aDoubt.m_until) {
    return;
  }
  const std::uint32_t doublings = std::min(aDoubt.m_raised, kMaxDoublings);
  ++aDoubt.m_raised;
  aDoubt.m_until =
    aNow + std::min(kFirstDoubt * (1U << doublings), kLongestDoubt);
}

void
PassiveHealthCheck::OnOpeningRetransmitted(std::uint32_t aToken,
                                           base::Instant aNow)
{
  Raise(m_known[aToken], aNow);
}

void
PassiveHealthCheck::OnDataRetransmitted(std::uint32_t aToken,
                                        base::Instant aNow)
{
  Doubt& doubt = m_known[aToken];
  ++doubt.m_stalls;
  if (doubt.m_stalls >= kStallsForDoubt) {
    doubt.m_stalls = 0;
    Raise(doubt, aNow);
  }
}

void
PassiveHealthCheck::OnResponse(std::uint32_t aToken, base::Instant aNow)
{
  Doubt& doubt = m_known[aToken];
  doubt = Doubt{};
  doubt.m_aliveAt = aNow;
}

void
PassiveHealthCheck::Sweep(base::Instant aNow)
{
  std::erase_if(m_known, [&](const auto& aEntry) {
    const Doubt& doubt = aEntry.second;
    return aNow - std::max(doubt.m_until, doubt.m_aliveAt) > kDoubtMemory;
  });
}

bool
PassiveHealthCheck::IsSuspect(std::uint32_t aToken, base::Instant aNow) const
{
  const auto found = m_known.find(aToken);
  return found != m_known.end() && aNow < found->second.m_until;
}

base::Instant
PassiveHealthCheck::LastResponseAt(std::uint32_t aToken) const
{
  const auto found = m_known.find(aToken);
  return found == m_known.end() ? base::Instant{} : found->second.m_aliveAt;
}

} // namespace wasabiloom::placing
