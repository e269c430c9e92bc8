#include "wasabiloom/fleet/ProbeOrder.h"

#include <algorithm>

namespace wasabiloom::fleet {

base::Ipv4Address
ProbeOrder::Next(const std::vector<base::Ipv4Address>& aAll,
                 std::mt19937_64& aRandom)
{
  while (!m_left.empty()) {
    const base::Ipv4Address next = m_left.back();
    m_left.pop_back();
    if (std::ranges::binary_search(aAll, next)) {
      return next;
    }
  }
  m_left = aAll;
  std::ranges::shuffle(m_left, aRandom);
  const base::Ipv4Address next = m_left.back();
  m_left.pop_back();
  return next;
}

} // namespace wasabiloom::fleet
