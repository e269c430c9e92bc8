#include "wasabiloom/peer/SendBudget.h"

#include <algorithm>

namespace wasabiloom::peer {

void
SendBudget::Refill(base::Instant aNow)
{
  using std::chrono::milliseconds;
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  const auto passed =
    std::chrono::duration_cast<milliseconds>(aNow - m_refilledAt);
  m_refilledAt += passed;
  const std::int64_t accrued = std::min<std::int64_t>(
    passed.count() * kBytesPerSecond / kMillisecondsPerSecond, kBurstBytes);
  m_bytes = std::min(m_bytes + accrued, kBurstBytes);
}

std::size_t
SendBudget::Available() const
{
  return m_bytes > 0 ? static_cast<std::size_t>(m_bytes) : 0;
}

std::size_t
SendBudget::Spare() const
{
  const std::int64_t spare = m_bytes - kReserveBytes;
  return spare > 0 ? static_cast<std::size_t>(spare) : 0;
}

void
SendBudget::Spend(std::size_t aBytes)
{
  m_bytes -= static_cast<std::int64_t>(aBytes);
}

} // namespace wasabiloom::peer
