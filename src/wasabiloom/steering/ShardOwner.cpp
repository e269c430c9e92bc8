#include "wasabiloom/steering/ShardOwner.h"

#include <algorithm>

namespace wasabiloom::steering {

namespace {

/// Time after which unanswered proposals and commits are sent again.
constexpr base::Duration kResendInterval = std::chrono::milliseconds(200);

} // namespace

ShardOwner::ShardOwner(ShardState& aState,
                       const peer::HostView& aView,
                       peer::Outbox& aOutbox)
  : m_state(aState)
  , m_view(aView)
  , m_outbox(aOutbox)
  , m_planner(aState, aView, aOutbox)
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
  for (const LocalRowMove& move : moves) {
    m_state.m_table.SetRow(move.m_row, move.m_targetIndex);
  }
  m_state.m_table.SetVersion(TableVersion{ 0, aBundleVersion, {} });
  m_state.m_hasTable = true;
}

void
ShardOwner::StartIfDue(base::Instant aNow)
{
  const bool orphaned =
    m_state.m_window &&
    !m_view.IsLiveProcess(m_state.m_window->m_version.m_owner,
                          m_state.m_window->m_ownerIncarnation);
  if (m_state.m_window && !orphaned) {
    return;
  }
  const bool due = m_planner.ConsumeDueRequest(aNow);
  if (!orphaned && !due) {
    return;
  }
  auto moves = MovesDue(orphaned, aNow);
  if (!moves.empty()) {
    Start(std::move(moves), orphaned, aNow);
  }
}

/// Returns the planned moves. Adds rows that keep their target but have to be
/// part of the window, so that every host reports its flows in them: the rows
/// of a lost owner's window, and those of flows that an earlier change missed.
std::vector<LocalRowMove>
ShardOwner::MovesDue(bool aTakeover, base::Instant aNow)
{
  auto moves = m_planner.DueMoves(aNow);
  RowSet closed;
  for (const LocalRowMove& move : moves) {
    closed.set(move.m_row);
  }
  const auto close = [&](std::uint16_t aRow) {
    if (!closed.test(aRow)) {
      closed.set(aRow);
      moves.push_back({ aRow, m_state.m_table.RowTarget(aRow) });
    }
  };
  if (aTakeover) {
    for (const LocalRowMove& move : m_state.m_window->m_moves) {
      close(move.m_row);
    }
  }
  for (const PinnedFlow& flow : m_strays) {
    close(flow.m_flow.m_row);
  }
  return moves;
}

void
ShardOwner::AddStrayFlows(const std::vector<PinnedFlow>& aFlows)
{
  m_strays.insert(m_strays.end(), aFlows.begin(), aFlows.end());
  m_planner.RequestPlanning();
}

/// Returns a version above all versions that this host knows of. The term rises
/// unless this host made the current table and knows of no higher version.
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
ShardOwner::Start(std::vector<LocalRowMove> aMoves,
                  bool aTakeover,
                  base::Instant aNow)
{
  std::ranges::sort(aMoves);
  MigrationWindow window;
  window.m_version = NextVersion();
  window.m_basis = m_state.m_table.Version();
  window.m_ownerIncarnation = m_view.Incarnation();
  window.m_takeover = aTakeover;
  for (const LocalRowMove& move : aMoves) {
    window.m_rows.set(move.m_row);
  }
  window.m_moves = std::move(aMoves);
  Progress progress;
  progress.m_proposed = m_state.FlowsToPin(window, aNow);
  for (const PinnedFlow& flow : m_strays) {
    if (m_state.m_flows.Find(flow.m_flow) == kNoTargetIndex) {
      progress.m_proposed.push_back(flow);
    }
  }
  m_strays.clear();
  m_state.AddKnownFlows(window, progress.m_proposed);
  std::ranges::sort(progress.m_proposed);
  if (m_outbox.Budget().Available() == 0) {
    progress.m_proposed.clear();
  }
  progress.m_version = window.m_version;
  progress.m_rows = window.m_rows;
  progress.m_propose = m_state.MakeProposal(window);
  progress.m_propose.m_known = progress.m_proposed;
  ObserveVersion(window.m_version);
  m_state.m_window = std::move(window);
  m_progress = std::move(progress);
  AwaitAll();
  m_outbox.Budget().Spend(
    m_planner.EstimateMessageBytes(m_progress->m_proposed.size()));
  SendToAwaited(aNow);
  Advance(aNow);
}

void
ShardOwner::SendToAwaited(base::Instant aNow)
{
  for (const base::HostId host : m_progress->m_awaited) {
    if (m_progress->m_stage == Stage::Committing) {
      m_outbox.Send(host, CommitFor(host));
    } else {
      m_outbox.Send(host, m_progress->m_propose);
    }
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
ShardOwner::AwaitAll()
{
  const auto& peers = m_view.LivePeers();
  m_progress->m_awaited = { peers.begin(), peers.end() };
}

void
ShardOwner::Advance(base::Instant aNow)
{
  if (m_progress->m_stage == Stage::Lingering) {
    if (MayCommit(aNow)) {
      SendCommit(aNow);
    }
    return;
  }
  DropDeadAwaited();
  if (!m_progress->m_awaited.empty()) {
    if (aNow - m_progress->m_sentAt >= kResendInterval) {
      SendToAwaited(aNow);
    }
    return;
  }
  if (m_progress->m_stage == Stage::Gathering) {
    Switch(aNow);
    return;
  }
  m_progress.reset();
  m_planner.RequestPlanning();
}

void
ShardOwner::Switch(base::Instant aNow)
{
  m_state.m_window->m_newFlowsUseNewTargets = true;
  m_progress->m_stage = Stage::Lingering;
  Advance(aNow);
}

/// Whether the change may be committed now. A commit waits until the send
/// budget allows it and until flows that only a departed host had seen could
/// reappear. It waits for neither if an urgent change is due next.
bool
ShardOwner::MayCommit(base::Instant aNow)
{
  if (!m_view.HasRecentDeparture(aNow) && m_outbox.Budget().Available() > 0) {
    return true;
  }
  return m_planner.ConsumeUrgentRequest();
}

void
ShardOwner::SendCommit(base::Instant aNow)
{
  MigrationWindow& window = *m_state.m_window;
  m_state.AddKnownFlows(window, m_state.FlowsToPin(window, aNow));
  for (const PinnedFlow& flow : m_state.MakeProposal(window).m_known) {
    if (!std::ranges::binary_search(m_progress->m_proposed, flow)) {
      m_progress->m_additions.push_back(flow);
    }
  }
  m_state.ApplyWindow(aNow);
  m_progress->m_stage = Stage::Committing;
  m_outbox.Budget().Spend(
    m_planner.EstimateMessageBytes(m_progress->m_additions.size()));
  AwaitAll();
  SendToAwaited(aNow);
  Advance(aNow);
}

/// Returns the commit message for one host. It omits the flows that this host
/// has reported itself.
peer::Commit
ShardOwner::CommitFor(base::HostId aHost) const
{
  peer::Commit commit;
  commit.m_shard = m_state.Key();
  commit.m_version = m_progress->m_version;
  const auto told = m_progress->m_contributed.find(aHost);
  for (const PinnedFlow& flow : m_progress->m_additions) {
    const bool known = told != m_progress->m_contributed.end() &&
                       std::ranges::binary_search(told->second, flow);
    if (!known) {
      commit.m_additions.push_back(flow);
    }
  }
  return commit;
}

void
ShardOwner::OnContribute(base::HostId aFrom,
                         const peer::Contribute& aMessage,
                         base::Instant aNow)
{
  ObserveVersion(aMessage.m_committed);
  if (!m_progress || m_progress->m_stage == Stage::Committing) {
    return;
  }
  if (!aMessage.m_accepted) {
    if (m_progress->m_stage != Stage::Gathering) {
      return;
    }
    ObserveVersion(aMessage.m_version);
    const bool behind = aMessage.m_committed > m_state.m_table.Version();
    AbortChange();
    if (behind) {
      m_outbox.Send(aFrom, m_state.MakeSyncRequest());
    }
    return;
  }
  if (aMessage.m_version != m_progress->m_version) {
    return;
  }
  for (const PinnedFlow& flow : aMessage.m_flows) {
    if (m_state.m_flows.Find(flow.m_flow) == kNoTargetIndex) {
      const TargetIndex slot = m_state.Directory().IndexOf(flow.m_target);
      m_state.m_window->m_knownFlows.Put(flow.m_flow, slot, 0);
    }
  }
  m_progress->m_contributed[aFrom] = aMessage.m_flows;
  m_progress->m_awaited.erase(aFrom);
  Advance(aNow);
}

void
ShardOwner::OnCommitAck(base::HostId aFrom, const peer::CommitAck& aMessage)
{
  if (!m_progress || m_progress->m_stage != Stage::Committing ||
      aMessage.m_version < m_progress->m_version) {
    return;
  }
  m_progress->m_awaited.erase(aFrom);
}

void
ShardOwner::AbortChange()
{
  if (m_progress && m_progress->m_stage != Stage::Committing) {
    m_state.m_window.reset();
  }
  m_progress.reset();
  m_planner.RequestPlanning();
}

void
ShardOwner::ObserveVersion(const TableVersion& aVersion)
{
  m_highest = std::max(m_highest, aVersion);
}

bool
ShardOwner::IsCommitting(std::uint16_t aRow) const
{
  return m_progress && m_progress->m_stage == Stage::Committing &&
         m_progress->m_rows.test(aRow);
}

} // namespace wasabiloom::steering
