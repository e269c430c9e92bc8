/// A host's report on the load of backend servers, as a decoded value.
#pragma once

#include "wasabiloom/placing/LoadObservations.h"

#include <compare>
#include <cstdint>

namespace wasabiloom::fleet {

/// Content of a message; the sender is that of the message.
struct LoadReport
{
  /// Increases with each report of the sender's process.
  std::uint32_t m_sequence = 0;
  placing::HostLoad m_load;
  placing::LearnedLoad m_learned;

  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

} // namespace wasabiloom::fleet
