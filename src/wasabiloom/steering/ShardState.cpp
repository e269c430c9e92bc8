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

TargetSlot
Window::NewTarget(std::uint16_t aRow) const
{
  const auto found = std::ranges::lower_bound(
    m_moves, aRow, {}, [](const SlotMove& aMove) { return aMove.m_row; });
  return found->m_slot;
}

ShardState::ShardState(const ShardKey& aKey, TargetDirectory& aDirectory)
  : m_key(aKey)
  , m_directory(aDirectory)
{
}

bool
ShardState::KeepsFlows(TargetSlot aSlot) const
{
  const TargetInfo& info = m_directory.At(aSlot);
  return info.m_takesPackets || !info.m_known;
}

Window
ShardState::MakeWindow(const peer::Propose& aPropose) const
{
  Window window;
  window.m_version = aPropose.m_version;
  window.m_basis = aPropose.m_basis;
  window.m_ownerIncarnation = aPropose.m_ownerIncarnation;
  window.m_takeover = aPropose.m_takeover;
  for (const RowMove& move : aPropose.m_moves) {
    window.m_rows.set(move.m_row);
    window.m_moves.push_back({ move.m_row, m_directory.SlotOf(move.m_target) });
  }
  std::ranges::sort(window.m_moves);
  TakeFlows(window, aPropose.m_known);
  return window;
}

PinnedFlow
ShardState::Describe(const FlowTable::Entry& aEntry) const
{
  return PinnedFlow{ { aEntry.m_row, aEntry.m_fingerprint },
                     m_directory.At(aEntry.m_slot).m_id };
}

peer::Propose
ShardState::DescribeWindow(const Window& aWindow) const
{
  peer::Propose propose;
  propose.m_shard = m_key;
  propose.m_version = aWindow.m_version;
  propose.m_basis = aWindow.m_basis;
  propose.m_ownerIncarnation = aWindow.m_ownerIncarnation;
  propose.m_takeover = aWindow.m_takeover;
  for (const SlotMove& move : aWindow.m_moves) {
    propose.m_moves.push_back({ move.m_row, m_directory.At(move.m_slot).m_id });
  }
  aWindow.m_known.ForEach([&](const FlowTable::Entry& aEntry) {
    propose.m_known.push_back(Describe(aEntry));
  });
  return propose;
}

/// Whether a flow was seen recently on a backend server that still counts.
bool
ShardState::IsWorthTelling(const FlowTable::Entry& aEntry,
                           base::Instant aNow) const
{
  constexpr auto kIdle =
    std::chrono::duration_cast<std::chrono::seconds>(kFlowIdleLimit).count();
  return ToSeconds(aNow) - aEntry.m_seen <= kIdle && KeepsFlows(aEntry.m_slot);
}

void
ShardState::TakeFlows(Window& aWindow,
                      const std::vector<PinnedFlow>& aFlows) const
{
  for (const PinnedFlow& flow : aFlows) {
    const TargetSlot slot = m_directory.SlotOf(flow.m_target);
    aWindow.m_known.Put(flow.m_flow, slot, 0);
  }
}

std::vector<PinnedFlow>
ShardState::FlowsAtRisk(const Window& aWindow, base::Instant aNow) const
{
  std::vector<PinnedFlow> flows;
  m_flows.ForEach([&](const FlowTable::Entry& aEntry) {
    if (!aWindow.m_rows.test(aEntry.m_row)) {
      return;
    }
    // A lost owner may have placed flows on its own new defaults already.
    const bool moves =
      aWindow.NewTarget(aEntry.m_row) != aEntry.m_slot ||
      (aWindow.m_takeover && m_table.RowTarget(aEntry.m_row) != aEntry.m_slot);
    if (moves && IsWorthTelling(aEntry, aNow)) {
      flows.push_back(Describe(aEntry));
    }
  });
  return flows;
}

void
ShardState::ApplyWindow(base::Instant aNow)
{
  const Window& window = *m_window;
  m_table.Unpin(window.m_rows);
  for (const SlotMove& move : window.m_moves) {
    m_table.SetRow(move.m_row, move.m_slot);
  }
  window.m_known.ForEach([&](const FlowTable::Entry& aEntry) {
    m_table.Pin({ aEntry.m_row, aEntry.m_fingerprint }, aEntry.m_slot);
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
      aRows.test(aEntry.m_row) && m_table.Lookup(flow).m_slot != aEntry.m_slot;
    if (contradicts && IsWorthTelling(aEntry, aNow)) {
      dropped.push_back(Describe(aEntry));
    }
    return contradicts;
  });
  return dropped;
}

std::vector<PinnedFlow>
ShardState::AdoptTable(const peer::Sync& aSync, base::Instant aNow)
{
  m_table = ShardTable();
  for (std::size_t row = 0; row < aSync.m_rows.size(); ++row) {
    m_table.SetRow(row, m_directory.SlotOf(aSync.m_rows[row]));
  }
  for (const PinnedFlow& flow : aSync.m_pinned) {
    m_table.Pin(flow.m_flow, m_directory.SlotOf(flow.m_target));
  }
  m_table.SetVersion(aSync.m_version);
  m_hasTable = true;
  m_confirmed = true;
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
    sync.m_window = DescribeWindow(*m_window);
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
    return now - aEntry.m_seen > kIdle;
  });
}

peer::SyncRequest
ShardState::MakeSyncRequest() const
{
  peer::SyncRequest request;
  request.m_shard = m_key;
  request.m_committed = m_hasTable ? m_table.Version() : TableVersion{};
  request.m_window = m_window ? m_window->m_version : TableVersion{};
  request.m_confirm = !m_hasTable || !m_confirmed;
  return request;
}

} // namespace wasabiloom::steering
