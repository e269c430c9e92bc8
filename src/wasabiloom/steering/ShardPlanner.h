/// Plans which rows of a shard move to which backend server.
#pragma once

#include "wasabiloom/steering/ShardTable.h"
#include "wasabiloom/steering/TargetDirectory.h"

#include <array>
#include <vector>

namespace wasabiloom::steering {

/// Move of one row to a new default target, given by its local slot.
struct LocalRowMove
{
  std::uint16_t m_row = 0;
  TargetIndex m_targetIndex = kNoTargetIndex;

  friend auto operator<=>(const LocalRowMove&, const LocalRowMove&) = default;
};

/// Number of flows that this host has recorded in each row.
using RowFlowCounts = std::array<std::uint16_t, kRowsPerShard>;

/// Returns the smallest set of moves after which every backend server that
/// takes new work holds rows in proportion to its corrected weight, and no
/// other holds any. Prefers to move rows with few flows, since each flow in a
/// moved row has to be reported to the peers. The result is deterministic, and
/// empty if no backend server takes new work. Thread safe.
std::vector<LocalRowMove>
PlanMoves(const ShardKey& aKey,
          const ShardTable& aTable,
          const TargetDirectory& aDirectory,
          const RowFlowCounts& aLoads = {});

} // namespace wasabiloom::steering
