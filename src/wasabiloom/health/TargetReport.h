/// Status that a backend server reports about itself.
#pragma once

#include "wasabiloom/steering/Types.h"

#include <compare>
#include <cstdint>

namespace wasabiloom::health {

/// Warm-up state of a backend server after its start, as it reports it.
enum class WarmupState : std::uint8_t
{
  Warm,
  Cold,
};

/// One answer of a backend server's status endpoint. It may be out of date or
/// wrong.
struct TargetReport
{
  steering::TargetId m_target;
  std::uint32_t m_flows = 0;
  WarmupState m_warmupState = WarmupState::Warm;

  friend auto operator<=>(const TargetReport&, const TargetReport&) = default;
};

} // namespace wasabiloom::health
