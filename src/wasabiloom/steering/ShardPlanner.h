/// Decides which rows of a shard should move to which backend server.
#pragma once

#include "wasabiloom/steering/ShardTable.h"
#include "wasabiloom/steering/TargetDirectory.h"

#include <array>
#include <vector>

namespace wasabiloom::steering {

/// Move of one row in terms of local slots.
struct LocalRowMove
{
  std::uint16_t m_row = 0;
  TargetIndex m_targetIndex = kNoTargetIndex;

  friend auto operator<=>(const LocalRowMove&, const LocalRowMove&) = default;
};

/// Flows remembered in each row.
using RowFlowCounts = std::array<std::uint16_t, kRowsPerShard>;

/// Fewest moves after which every backend server that takes new work holds
/// rows in proportion to its weight, and no other holds any. Where there is a
/// choice, rows with few flows move, since each of their flows must be told.
/// Deterministic. Empty when no backend server takes new work. Thread safe.
std::vector<LocalRowMove>
PlanMoves(const ShardKey& aKey,
          const ShardTable& aTable,
          const TargetDirectory& aDirectory,
          const RowFlowCounts& aLoads = {});

} // namespace wasabiloom::steering
