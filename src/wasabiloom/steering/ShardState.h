/// State that a host keeps for one shard.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/peer/Messages.h"
#include "wasabiloom/steering/ShardPlanner.h"

#include <optional>
#include <vector>

namespace wasabiloom::steering {

/// Flows without a packet for this long are removed from the flow table.
constexpr base::Duration kFlowIdleLimit = std::chrono::minutes(30);

/// Estimated size of one flow in a message, in bytes, as charged to the send
/// budget.
constexpr std::size_t kEncodedFlowBytes = 5;

/// A table change in progress: the rows that get a new default target, and the
/// flows known in these rows. While the window is open, every host except its
/// owner relays the packets of flows that it does not know to the owner.
struct MigrationWindow
{
  TableVersion m_version;
  /// Version of the table that the moves apply to.
  TableVersion m_basis;
  std::uint64_t m_ownerIncarnation = 0;
  /// Whether the window replaces that of an owner that was lost.
  bool m_takeover = false;
  /// Whether new flows are placed on the new default targets. Only set on the
  /// owner of the window.
  bool m_newFlowsUseNewTargets = false;
  RowSet m_rows;
  /// New default targets of the rows, sorted by row.
  std::vector<LocalRowMove> m_moves;
  /// Flows of the rows whose target is known.
  FlowTable m_knownFlows;

  /// Returns the new default target of `aRow`. Precondition: `m_rows` contains
  /// `aRow`.
  TargetIndex NewTarget(std::uint16_t aRow) const;
};

/// Table, flows and open migration window of one shard on one host. Not thread
/// safe.
class ShardState
{
public:
  /// `aDirectory` must outlive the state.
  ShardState(const ShardKey& aKey, TargetDirectory& aDirectory);

  const ShardKey& Key() const { return m_key; }
  TargetDirectory& Directory() const { return m_directory; }

  /// Whether flows to `aSlot` have to be preserved: the target takes packets,
  /// or no bundle has listed it yet.
  bool MayAcceptPackets(TargetIndex aSlot) const;

  /// Returns the window that `aPropose` describes.
  MigrationWindow MakeWindow(const peer::Propose& aPropose) const;

  /// Returns the proposal that describes `aWindow`.
  peer::Propose MakeProposal(const MigrationWindow& aWindow) const;

  /// Adds `aFlows` to the known flows of `aWindow`, replacing their targets
  /// where they are already known.
  void AddKnownFlows(MigrationWindow& aWindow,
                     const std::vector<PinnedFlow>& aFlows) const;

  /// Returns the recently seen flows in the rows of `aWindow` whose target is
  /// not the new default of their row; in a takeover also those whose target is
  /// not the old default. Flows to targets that MayAcceptPackets rejects are
  /// left out.
  std::vector<PinnedFlow> FlowsToPin(const MigrationWindow& aWindow,
                                     base::Instant aNow) const;

  /// Applies the moves and known flows of the open window to the table and
  /// closes the window. Precondition: a window is open.
  void ApplyWindow(base::Instant aNow);

  /// Replaces the table with that of `aSync` and discards the open window.
  /// Flows that this host has seen on another target than the new table gives
  /// are removed, except in rows that are moving; the recently seen ones among
  /// them are returned. Precondition: `aSync` has kRowsPerShard rows.
  std::vector<PinnedFlow> ReplaceTable(const peer::Sync& aSync,
                                       base::Instant aNow);

  /// Returns the table and the open window as a message.
  peer::Sync Describe() const;

  /// Removes flows that have been idle for longer than kFlowIdleLimit.
  void DropIdleFlows(base::Instant aNow);

  /// Whether the table may be used: it exists, and this host has not been
  /// paused since the table was last known to be current.
  bool IsUsable() const { return m_hasTable && m_tableConfirmed; }

  /// Returns a request for the state that this host lacks.
  peer::SyncRequest MakeSyncRequest() const;

  bool m_hasTable = false;
  /// Whether the table counts as current. Cleared after a pause of this host,
  /// until a peer has confirmed or replaced the table.
  bool m_tableConfirmed = true;
  ShardTable m_table;
  /// Flows that this host has recorded, with the time of their last packet.
  FlowTable m_flows;
  std::optional<MigrationWindow> m_window;

private:
  std::vector<PinnedFlow> DropContradictions(const RowSet& aRows,
                                             base::Instant aNow);
  PinnedFlow Describe(const FlowTable::Entry& aEntry) const;
  bool IsWorthTelling(const FlowTable::Entry& aEntry, base::Instant aNow) const;

  ShardKey m_key;
  TargetDirectory& m_directory;
};

/// Returns `aNow` in whole seconds, the unit of
/// FlowTable::Entry::m_lastSeenSeconds. Thread safe.
std::uint32_t
ToSeconds(base::Instant aNow);

} // namespace wasabiloom::steering
