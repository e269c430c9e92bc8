/// Hosts in a random order, each once a round.
#pragma once

#include "wasabiloom/base/Endpoint.h"

#include <random>
#include <vector>

namespace wasabiloom::fleet {

/// Bounds the time until each host is probed. One thread at a time.
class ProbeOrder
{
public:
  /// The next host of `aAll`, which must be sorted and not empty; hosts that
  /// have come or gone since the round began are taken into account.
  base::Ipv4Address Next(const std::vector<base::Ipv4Address>& aAll,
                         std::mt19937_64& aRandom);

private:
  std::vector<base::Ipv4Address> m_left;
};

} // namespace wasabiloom::fleet
