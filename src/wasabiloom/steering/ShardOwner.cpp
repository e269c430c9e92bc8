#include "wasabiloom/steering/ShardOwner.h"

#include <algorithm>

namespace wasabiloom::steering {

namespace {

constexpr base::Duration kResendInterval = std::chrono::milliseconds(200);

} // namespace

ShardOwner::ShardOwner(ShardState& aState,
                       const peer::HostView& aView,
                       peer::Outbox& aOutbox)
  : m_state(aState)
  , m_view(aView)
  , m_outbox(aOutbox)
{
}

void
ShardOwner::Tick(bool aOwns, std::uint64_t aBundleVersion, base::Instant aNow)
{
  if (m_progress) {
    Advance(aNow);
    return;
  }
  if (!aOwns) {
    return;
  }
  if (!m_state.m_hasTable) {
    CreateFirstTable(aBundleVersion);
    return;
  }
  StartIfDue(aNow);
}

void
ShardOwner::CreateFirstTable(std::uint64_t aBundleVersion)
{
  const auto moves =
    PlanMoves(m_state.Key(), m_state.m_table, m_state.Directory());
  if (moves.empty()) {
    return;
  }
  for (const SlotMove& move : moves) {
    m_state.m_table.SetRow(move.m_row, move.m_slot);
  }
  m_state.m_table.SetVersion(TableVersion{ 0, aBundleVersion, {} });
  m_state.m_hasTable = true;
}

void
ShardOwner::StartIfDue(base::Instant aNow)
{
  const bool orphaned =
    m_state.m_window && !m_view.IsLive(m_state.m_window->m_version.m_owner);
  if (m_state.m_window && !orphaned) {
    return;
  }
  if (!orphaned && !m_planDue) {
    return;
  }
  m_planDue = false;
  auto moves = MovesDue(orphaned);
  if (!moves.empty()) {
    Start(std::move(moves), orphaned, aNow);
  }
}

/// Planned moves; with a takeover also every row the lost owner had closed.
std::vector<SlotMove>
ShardOwner::MovesDue(bool aTakeover) const
{
  auto moves = PlanMoves(m_state.Key(), m_state.m_table, m_state.Directory());
  if (!aTakeover) {
    return moves;
  }
  RowSet planned;
  for (const SlotMove& move : moves) {
    planned.set(move.m_row);
  }
  for (const SlotMove& move : m_state.m_window->m_moves) {
    if (!planned.test(move.m_row)) {
      const TargetSlot current = m_state.m_table.RowTarget(move.m_row);
      moves.push_back({ move.m_row, current });
    }
  }
  return moves;
}

TableVersion
ShardOwner::NextVersion() const
{
  const TableVersion& current = m_state.m_table.Version();
  const base::HostId self = m_view.Self();
  const bool sameOwner = current.m_owner == self && m_highest <= current;
  const auto term = std::max(current.m_term, m_highest.m_term);
  const auto sequence = std::max(current.m_sequence, m_highest.m_sequence);
  return { sameOwner ? term : term + 1, sequence + 1, self };
}

void
ShardOwner::Start(std::vector<SlotMove> aMoves,
                  bool aTakeover,
                  base::Instant aNow)
{
  std::ranges::sort(aMoves);
  Window window;
  window.m_version = NextVersion();
  window.m_basis = m_state.m_table.Version();
  window.m_takeover = aTakeover;
  for (const SlotMove& move : aMoves) {
    window.m_rows.set(move.m_row);
  }
  window.m_moves = std::move(aMoves);
  Progress progress;
  progress.m_proposed = m_state.FlowsAtRisk(window, aNow);
  for (const PinnedFlow& flow : progress.m_proposed) {
    const TargetSlot slot = m_state.Directory().SlotOf(flow.m_target);
    window.m_known.Put(flow.m_flow, slot, 0);
  }
  std::ranges::sort(progress.m_proposed);
  progress.m_version = window.m_version;
  progress.m_rows = window.m_rows;
  progress.m_message = m_state.DescribeWindow(window);
  const auto& peers = m_view.LivePeers();
  progress.m_awaited = { peers.begin(), peers.end() };
  Observe(window.m_version);
  m_state.m_window = std::move(window);
  m_progress = std::move(progress);
  SendToAwaited(aNow);
  Advance(aNow);
}

void
ShardOwner::SendToAwaited(base::Instant aNow)
{
  for (const base::HostId host : m_progress->m_awaited) {
    m_outbox.Send(host, m_progress->m_message);
  }
  m_progress->m_sentAt = aNow;
}

void
ShardOwner::DropDeadAwaited()
{
  std::erase_if(m_progress->m_awaited,
                [&](base::HostId aHost) { return !m_view.IsLive(aHost); });
}

void
ShardOwner::Advance(base::Instant aNow)
{
  DropDeadAwaited();
  if (!m_progress->m_awaited.empty()) {
    if (aNow - m_progress->m_sentAt >= kResendInterval) {
      SendToAwaited(aNow);
    }
    return;
  }
  if (!m_progress->m_switched) {
    Switch(aNow);
    return;
  }
  m_progress.reset();
  m_planDue = true;
}

void
ShardOwner::Switch(base::Instant aNow)
{
  Window& window = *m_state.m_window;
  for (const PinnedFlow& flow : m_state.FlowsAtRisk(window, aNow)) {
    const TargetSlot slot = m_state.Directory().SlotOf(flow.m_target);
    window.m_known.Put(flow.m_flow, slot, 0);
  }
  const peer::Propose whole = m_state.DescribeWindow(window);
  peer::Commit commit;
  commit.m_shard = m_state.Key();
  commit.m_version = window.m_version;
  for (const PinnedFlow& flow : whole.m_known) {
    if (!std::ranges::binary_search(m_progress->m_proposed, flow)) {
      commit.m_additions.push_back(flow);
    }
  }
  m_state.ApplyWindow();
  m_progress->m_switched = true;
  m_progress->m_message = commit;
  const auto& peers = m_view.LivePeers();
  m_progress->m_awaited = { peers.begin(), peers.end() };
  SendToAwaited(aNow);
  if (m_progress->m_awaited.empty()) {
    Advance(aNow);
  }
}

void
ShardOwner::OnContribute(base::HostId aFrom,
                         const peer::Contribute& aMessage,
                         base::Instant aNow)
{
  Observe(aMessage.m_committed);
  if (!m_progress || m_progress->m_switched) {
    return;
  }
  if (!aMessage.m_accepted) {
    Observe(aMessage.m_version);
    const bool behind = aMessage.m_committed > m_state.m_table.Version();
    Abandon();
    if (behind) {
      m_outbox.Send(aFrom, peer::SyncRequest{ m_state.Key() });
    }
    return;
  }
  if (aMessage.m_version != m_progress->m_version) {
    return;
  }
  for (const PinnedFlow& flow : aMessage.m_flows) {
    if (m_state.m_flows.Find(flow.m_flow) == kNoSlot) {
      const TargetSlot slot = m_state.Directory().SlotOf(flow.m_target);
      m_state.m_window->m_known.Put(flow.m_flow, slot, 0);
    }
  }
  m_progress->m_awaited.erase(aFrom);
  Advance(aNow);
}

void
ShardOwner::OnCommitAck(base::HostId aFrom, const peer::CommitAck& aMessage)
{
  if (!m_progress || !m_progress->m_switched ||
      aMessage.m_version < m_progress->m_version) {
    return;
  }
  m_progress->m_awaited.erase(aFrom);
}

void
ShardOwner::Abandon()
{
  if (m_progress && !m_progress->m_switched) {
    m_state.m_window.reset();
  }
  m_progress.reset();
  m_planDue = true;
}

void
ShardOwner::Observe(const TableVersion& aVersion)
{
  m_highest = std::max(m_highest, aVersion);
}

bool
ShardOwner::IsCommitting(std::uint16_t aRow) const
{
  return m_progress && m_progress->m_switched && m_progress->m_rows.test(aRow);
}

} // namespace wasabiloom::steering
