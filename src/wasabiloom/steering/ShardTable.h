/// Committed steering table of one shard; the same version has the same content
/// on every host.
#pragma once

#include "wasabiloom/steering/FlowTable.h"
#include "wasabiloom/steering/Types.h"

#include <array>
#include <bitset>

namespace wasabiloom::steering {

/// Set of rows of a shard.
using RowSet = std::bitset<kRowsPerShard>;

/// Maps every row to its default target, and pinned flows to other targets. Not
/// thread safe.
class ShardTable
{
public:
  ShardTable();

  /// Result of Lookup.
  struct LookupResult
  {
    TargetIndex m_targetIndex = kNoTargetIndex;
    bool m_isPinned = false;
  };

  /// Returns the target of `aFlow` in this table. Allocates no memory.
  LookupResult Lookup(const FlowId& aFlow) const;

  /// Returns the default target of `aRow`. Precondition: aRow < kRowsPerShard.
  TargetIndex RowTarget(std::size_t aRow) const { return m_rows[aRow]; }

  /// Sets the default target of `aRow`. Flows of the row stay pinned until
  /// Unpin. Precondition: aRow < kRowsPerShard.
  void SetRow(std::size_t aRow, TargetIndex aSlot) { m_rows[aRow] = aSlot; }

  /// Removes the pins of all flows in `aRows`.
  void Unpin(const RowSet& aRows);

  /// Pins `aFlow` to `aSlot`, unless `aSlot` is the default target of its row.
  void Pin(const FlowId& aFlow, TargetIndex aSlot);

  const FlowTable& Pinned() const { return m_pinned; }
  const TableVersion& Version() const { return m_version; }
  void SetVersion(const TableVersion& aVersion) { m_version = aVersion; }

private:
  std::array<TargetIndex, kRowsPerShard> m_rows{};
  RowSet m_rowsWithPins;
  FlowTable m_pinned;
  TableVersion m_version;
};

} // namespace wasabiloom::steering
