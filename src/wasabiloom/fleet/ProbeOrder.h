/// Random order in which hosts are probed, each once per round.
#pragma once

#include "wasabiloom/base/Endpoint.h"

#include <random>
#include <vector>

namespace wasabiloom::fleet {

/// Bounds the time until each host is probed. Not thread safe.
class ProbeOrder
{
public:
  /// Returns the next host of `aAll`, which must be sorted and not empty. A
  /// host that has left `aAll` since the round began is skipped; a host that
  /// was added takes part from the next round.
  base::Ipv4Address Next(const std::vector<base::Ipv4Address>& aAll,
                         std::mt19937_64& aRandom);

private:
  std::vector<base::Ipv4Address> m_left;
};

} // namespace wasabiloom::fleet
