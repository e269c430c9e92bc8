#include "wasabiloom/steering/ShardState.h"

#include <algorithm>

namespace wasabiloom::steering {

std::uint32_t
ToSeconds(base::Instant aNow)
{
  const auto since = aNow.time_since_epoch();
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::seconds>(since).count());
}

TargetIndex
MigrationWindow::NewTarget(std::uint16_t aRow) const
{
  const auto found = std::ranges::lower_bound(
    m_moves, aRow, {}, [](const LocalRowMove& aMove) { return aMove.m_row; });
  return found->m_targetIndex;
}

ShardState::ShardState(const ShardKey& aKey, TargetDirectory& aDirectory)
  : m_key(aKey)
  , m_directory(aDirectory)
{
}

bool
ShardState::MayAcceptPackets(TargetIndex aSlot) const
{
  const TargetInfo& info = m_directory.At(aSlot);
  return info.m_acceptsPackets || !info.m_seenInBundle;
}

MigrationWindow
ShardState::MakeWindow(const peer::Propose& aPropose) const
{
  MigrationWindow window;
  window.m_version = aPropose.m_version;
  window.m_basis = aPropose.m_basis;
  window.m_ownerIncarnation = aPropose.m_ownerIncarnation;
  window.m_takeover = aPropose.m_takeover;
  for (const RowMove& move : aPropose.m_moves) {
    window.m_rows.set(move.m_row);
    window.m_moves.push_back(
      { move.m_row, m_directory.IndexOf(move.m_target) });
  }
  std::ranges::sort(window.m_moves);
  AddKnownFlows(window, aPropose.m_known);
  return window;
}

PinnedFlow
ShardState::Describe(const FlowTable::Entry& aEntry) const
{
  return PinnedFlow{ { aEntry.m_row, aEntry.m_fingerprint },
                     m_directory.At(aEntry.m_targetIndex).m_id };
}

peer::Propose
ShardState::MakeProposal(const MigrationWindow& aWindow) const
{
  peer::Propose propose;
  propose.m_shard = m_key;
  propose.m_version = aWindow.m_version;
  propose.m_basis = aWindow.m_basis;
  propose.m_ownerIncarnation = aWindow.m_ownerIncarnation;
  propose.m_takeover = aWindow.m_takeover;
  for (const LocalRowMove& move : aWindow.m_moves) {
    propose.m_moves.push_back(
      { move.m_row, m_directory.At(move.m_targetIndex).m_id });
  }
  aWindow.m_knownFlows.ForEach([&](const FlowTable::Entry& aEntry) {
    propose.m_known.push_back(Describe(aEntry));
  });
  return propose;
}

/// Whether peers have to learn about a flow: it was seen within kFlowIdleLimit,
/// and its backend server may still take packets.
bool
ShardState::IsWorthTelling(const FlowTable::Entry& aEntry,
                           base::Instant aNow) const
{
  constexpr auto kIdle =
    std::chrono::duration_cast<std::chrono::seconds>(kFlowIdleLimit).count();
  return ToSeconds(aNow) - aEntry.m_lastSeenSeconds <= kIdle &&
         MayAcceptPackets(aEntry.m_targetIndex);
}

void
ShardState::AddKnownFlows(MigrationWindow& aWindow,
                          const std::vector<PinnedFlow>& aFlows) const
{
  for (const PinnedFlow& flow : aFlows) {
    const TargetIndex slot = m_directory.IndexOf(flow.m_target);
    aWindow.m_knownFlows.Put(flow.m_flow, slot, 0);
  }
}

std::vector<PinnedFlow>
ShardState::FlowsToPin(const MigrationWindow& aWindow, base::Instant aNow) const
{
  std::vector<PinnedFlow> flows;
  m_flows.ForEach([&](const FlowTable::Entry& aEntry) {
    if (!aWindow.m_rows.test(aEntry.m_row)) {
      return;
    }
    // The owner that was lost may have placed flows on the new defaults of its
    // window, so in a takeover the old default needs the comparison as well.
    const bool moves =
      aWindow.NewTarget(aEntry.m_row) != aEntry.m_targetIndex ||
      (aWindow.m_takeover &&
       m_table.RowTarget(aEntry.m_row) != aEntry.m_targetIndex);
    if (moves && IsWorthTelling(aEntry, aNow)) {
      flows.push_back(Describe(aEntry));
    }
  });
  return flows;
}

void
ShardState::ApplyWindow(base::Instant aNow)
{
  const MigrationWindow& window = *m_window;
  m_table.Unpin(window.m_rows);
  for (const LocalRowMove& move : window.m_moves) {
    m_table.SetRow(move.m_row, move.m_targetIndex);
  }
  window.m_knownFlows.ForEach([&](const FlowTable::Entry& aEntry) {
    m_table.Pin({ aEntry.m_row, aEntry.m_fingerprint }, aEntry.m_targetIndex);
  });
  m_table.SetVersion(window.m_version);
  DropContradictions(window.m_rows, aNow);
  m_window.reset();
}

std::vector<PinnedFlow>
ShardState::DropContradictions(const RowSet& aRows, base::Instant aNow)
{
  std::vector<PinnedFlow> dropped;
  m_flows.EraseIf([&](const FlowTable::Entry& aEntry) {
    const FlowId flow{ aEntry.m_row, aEntry.m_fingerprint };
    const bool contradicts =
      aRows.test(aEntry.m_row) &&
      m_table.Lookup(flow).m_targetIndex != aEntry.m_targetIndex;
    if (contradicts && IsWorthTelling(aEntry, aNow)) {
      dropped.push_back(Describe(aEntry));
    }
    return contradicts;
  });
  return dropped;
}

std::vector<PinnedFlow>
ShardState::ReplaceTable(const peer::Sync& aSync, base::Instant aNow)
{
  m_table = ShardTable();
  for (std::size_t row = 0; row < aSync.m_rows.size(); ++row) {
    m_table.SetRow(row, m_directory.IndexOf(aSync.m_rows[row]));
  }
  for (const PinnedFlow& flow : aSync.m_pinned) {
    m_table.Pin(flow.m_flow, m_directory.IndexOf(flow.m_target));
  }
  m_table.SetVersion(aSync.m_version);
  m_hasTable = true;
  m_tableConfirmed = true;
  m_window.reset();
  RowSet settled = RowSet().set();
  if (aSync.m_window) {
    for (const RowMove& move : aSync.m_window->m_moves) {
      settled.reset(move.m_row);
    }
  }
  return DropContradictions(settled, aNow);
}

peer::Sync
ShardState::Describe() const
{
  peer::Sync sync;
  sync.m_shard = m_key;
  sync.m_version = m_table.Version();
  for (std::size_t row = 0; row < kRowsPerShard; ++row) {
    sync.m_rows.push_back(m_directory.At(m_table.RowTarget(row)).m_id);
  }
  m_table.Pinned().ForEach([&](const FlowTable::Entry& aEntry) {
    sync.m_pinned.push_back(Describe(aEntry));
  });
  if (m_window) {
    sync.m_window = MakeProposal(*m_window);
  }
  return sync;
}

void
ShardState::DropIdleFlows(base::Instant aNow)
{
  constexpr auto kIdle =
    std::chrono::duration_cast<std::chrono::seconds>(kFlowIdleLimit).count();
  const std::uint32_t now = ToSeconds(aNow);
  m_flows.EraseIf([&](const FlowTable::Entry& aEntry) {
    return now - aEntry.m_lastSeenSeconds > kIdle;
  });
}

peer::SyncRequest
ShardState::MakeSyncRequest() const
{
  peer::SyncRequest request;
  request.m_shard = m_key;
  request.m_committed = m_hasTable ? m_table.Version() : TableVersion{};
  request.m_window = m_window ? m_window->m_version : TableVersion{};
  request.m_confirm = !m_hasTable || !m_tableConfirmed;
  return request;
}

} // namespace wasabiloom::steering
