/// Decides which rows of a shard should move to which backend server.
#pragma once

#include "wasabiloom/steering/ShardTable.h"
#include "wasabiloom/steering/TargetDirectory.h"

#include <vector>

namespace wasabiloom::steering {

/// Move of one row in terms of local slots.
struct SlotMove
{
  std::uint16_t m_row = 0;
  TargetSlot m_slot = kNoSlot;

  friend auto operator<=>(const SlotMove&, const SlotMove&) = default;
};

/// Fewest moves after which every backend server that takes new work holds
/// rows in proportion to its weight, and no other holds any. Deterministic:
/// hosts with equal tables and directories get equal moves. Empty when no
/// backend server takes new work. Thread safe.
std::vector<SlotMove>
PlanMoves(const ShardKey& aKey,
          const ShardTable& aTable,
          const TargetDirectory& aDirectory);

} // namespace wasabiloom::steering
