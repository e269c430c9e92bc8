/// What a backend server says about itself.
#pragma once

#include "wasabiloom/steering/Types.h"

#include <compare>
#include <cstdint>

namespace wasabiloom::health {

/// How far a backend server has come since its start, by its own account.
enum class WarmupState : std::uint8_t
{
  Warm,
  Cold,
};

/// One answer of a backend server's status endpoint. It may lag or lie.
struct TargetReport
{
  steering::TargetId m_target;
  std::uint32_t m_flows = 0;
  WarmupState m_warmupState = WarmupState::Warm;

  friend auto operator<=>(const TargetReport&, const TargetReport&) = default;
};

} // namespace wasabiloom::health
