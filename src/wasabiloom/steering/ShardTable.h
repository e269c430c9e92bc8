/// Committed steering state of one shard, equal on every host.
#pragma once

#include "wasabiloom/steering/FlowTable.h"
#include "wasabiloom/steering/Types.h"

#include <array>
#include <bitset>

namespace wasabiloom::steering {

/// Set of rows of a shard.
using RowSet = std::bitset<kRowsPerShard>;

/// Default target of every row, and the flows pinned elsewhere. One thread at
/// a time.
class ShardTable
{
public:
  ShardTable();

  /// What Lookup found.
  struct LookupResult
  {
    TargetIndex m_targetIndex = kNoTargetIndex;
    bool m_isPinned = false;
  };

  /// Target of `aFlow` under this table; allocates nothing.
  LookupResult Lookup(const FlowId& aFlow) const;

  /// Default target of `aRow`. Precondition: aRow < kRowsPerShard.
  TargetIndex RowTarget(std::size_t aRow) const { return m_rows[aRow]; }

  /// Sets the default of `aRow`; pinned flows stay until Unpin.
  void SetRow(std::size_t aRow, TargetIndex aSlot) { m_rows[aRow] = aSlot; }

  /// Forgets the pinned flows of all rows in `aRows`.
  void Unpin(const RowSet& aRows);

  /// Pins `aFlow` to `aSlot` unless that is its row's default.
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
