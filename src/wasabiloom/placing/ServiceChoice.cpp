#include "wasabiloom/placing/ServiceChoice.h"

#include "wasabiloom/base/Hash.h"

#include <numeric>

namespace wasabiloom::placing {

std::string_view
ChooseService(const registry::Route& aRoute, std::uint64_t aHash)
{
  const auto total = std::accumulate(
    aRoute.m_shares.begin(),
    aRoute.m_shares.end(),
    std::uint64_t{ 0 },
    [](std::uint64_t aSum, const registry::ServiceShare& aShare) {
      return aSum + aShare.m_weight;
    });
  if (total == 0) {
    return {};
  }
  std::uint64_t point = base::Mix(aHash) % total;
  for (const registry::ServiceShare& share : aRoute.m_shares) {
    if (point < share.m_weight) {
      return share.m_service;
    }
    point -= share.m_weight;
  }
  return {};
}

} // namespace wasabiloom::placing
