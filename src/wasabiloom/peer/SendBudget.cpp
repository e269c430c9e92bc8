#include "wasabiloom/peer/SendBudget.h"

#include <algorithm>

namespace wasabiloom::peer {

std::size_t
SendBudget::Available() const
{
  return static_cast<std::size_t>(std::max<std::int64_t>(m_bucket.Level(), 0));
}

std::size_t
SendBudget::Spare() const
{
  return static_cast<std::size_t>(
    std::max<std::int64_t>(m_bucket.Level() - kReserveBytes, 0));
}

void
SendBudget::Spend(std::size_t aBytes)
{
  m_bucket.Spend(static_cast<std::int64_t>(aBytes));
}

} // namespace wasabiloom::peer
