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
  struct Found
  {
    TargetSlot m_slot = kNoSlot;
    bool m_pinned = false;
  };

  /// Target of `aFlow` under this table; allocates nothing.
  Found Lookup(const FlowId& aFlow) const;

  /// Default target of `aRow`. Precondition: aRow < kRowsPerShard.
  TargetSlot RowTarget(std::size_t aRow) const { return m_rows[aRow]; }

  /// Sets the default of `aRow`; pinned flows stay until Unpin.
  void SetRow(std::size_t aRow, TargetSlot aSlot) { m_rows[aRow] = aSlot; }

  /// Forgets the pinned flows of all rows in `aRows`.
  void Unpin(const RowSet& aRows);

  /// Pins `aFlow` to `aSlot` unless that is its row's default.
  void Pin(const FlowId& aFlow, TargetSlot aSlot);

  const FlowTable& Pinned() const { return m_pinned; }
  const TableVersion& Version() const { return m_version; }
  void SetVersion(const TableVersion& aVersion) { m_version = aVersion; }

private:
  std::array<TargetSlot, kRowsPerShard> m_rows{};
  RowSet m_rowsWithPins;
  FlowTable m_pinned;
  TableVersion m_version;
};

} // namespace wasabiloom::steering
