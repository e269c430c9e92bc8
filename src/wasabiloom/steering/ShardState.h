/// Everything a host knows about one shard.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/peer/Messages.h"
#include "wasabiloom/steering/ShardPlanner.h"

#include <optional>
#include <vector>

namespace wasabiloom::steering {

/// Flows not seen for this long are forgotten.
constexpr base::Duration kFlowIdleLimit = std::chrono::minutes(30);

/// Bytes that telling one flow takes, for the budget.
constexpr std::size_t kEncodedFlowBytes = 5;

/// Rows on their way to a new default target. While a window is open, every
/// host but its owner relays the packets of flows it does not know.
struct MigrationWindow
{
  TableVersion m_version;
  TableVersion m_basis;
  std::uint64_t m_ownerIncarnation = 0;
  bool m_takeover = false;
  /// Whether the owner, this host, places new flows on the new defaults.
  bool m_newFlowsUseNewTargets = false;
  RowSet m_rows;
  std::vector<LocalRowMove> m_moves;
  FlowTable m_knownFlows;

  /// New default of `aRow`. Precondition: m_rows has `aRow`.
  TargetIndex NewTarget(std::uint16_t aRow) const;
};

/// State of one shard on one host. One thread at a time.
class ShardState
{
public:
  /// `aDirectory` must outlive the state.
  ShardState(const ShardKey& aKey, TargetDirectory& aDirectory);

  const ShardKey& Key() const { return m_key; }
  TargetDirectory& Directory() const { return m_directory; }

  /// Whether flows on `aSlot` are worth keeping: it takes packets, or no
  /// bundle has told yet.
  bool MayAcceptPackets(TargetIndex aSlot) const;

  /// Window that `aPropose` describes.
  MigrationWindow MakeWindow(const peer::Propose& aPropose) const;

  /// Message that describes `aWindow`.
  peer::Propose MakeProposal(const MigrationWindow& aWindow) const;

  /// Adds flows to those known in `aWindow`.
  void AddKnownFlows(MigrationWindow& aWindow,
                     const std::vector<PinnedFlow>& aFlows) const;

  /// Recently seen flows of `aWindow`'s rows that will not be on their row's
  /// new default; in a takeover also those that are not on the old one.
  std::vector<PinnedFlow> FlowsToPin(const MigrationWindow& aWindow,
                                     base::Instant aNow) const;

  /// Puts the open window's moves in force and closes it. Precondition:
  /// a window is open.
  void ApplyWindow(base::Instant aNow);

  /// Replaces the table by what `aSync` holds; drops the open window. Returns
  /// the remembered flows that the table contradicts, which are forgotten.
  std::vector<PinnedFlow> ReplaceTable(const peer::Sync& aSync,
                                       base::Instant aNow);

  /// The whole state as a message.
  peer::Sync Describe() const;

  /// Forgets flows that were idle for longer than kFlowIdleLimit.
  void DropIdleFlows(base::Instant aNow);

  /// Whether the table may be used: there is one, and no pause since it was
  /// last known to be current.
  bool IsUsable() const { return m_hasTable && m_tableConfirmed; }

  /// Request for what this host lacks.
  peer::SyncRequest MakeSyncRequest() const;

  bool m_hasTable = false;
  bool m_tableConfirmed = true;
  ShardTable m_table;
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

/// Whole seconds of `aNow`, the unit of FlowTable::Entry::m_seen. Thread safe.
std::uint32_t
ToSeconds(base::Instant aNow);

} // namespace wasabiloom::steering
