#include "wasabiloom/base/TokenBucket.h"

#include <algorithm>

namespace wasabiloom::base {

TokenBucket::TokenBucket(std::int64_t aPerSecond, std::int64_t aBurst)
  : m_perSecond(aPerSecond)
  , m_burst(aBurst)
  , m_level(aBurst)
{
}

void
TokenBucket::Refill(Instant aNow)
{
  using std::chrono::milliseconds;
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  const auto passed =
    std::chrono::duration_cast<milliseconds>(aNow - m_refilledAt);
  m_refilledAt += passed;
  const std::int64_t accrued = std::min<std::int64_t>(
    passed.count() * m_perSecond / kMillisecondsPerSecond, m_burst);
  m_level = std::min(m_level + accrued, m_burst);
}

} // namespace wasabiloom::base
