#include "wasabiloom/steering/MovePlanner.h"

#include <algorithm>

namespace wasabiloom::steering {

namespace {

/// Minimum time between moves that only improve the balance.
constexpr base::Duration kPacedInterval = std::chrono::seconds(2);

/// Estimated size of a message without flows, in bytes; kEncodedFlowBytes is
/// the additional size per flow.
constexpr std::size_t kMessageBytes = 90;

} // namespace

MovePlanner::MovePlanner(ShardState& aState,
                         const peer::HostView& aView,
                         peer::Outbox& aOutbox)
  : m_state(aState)
  , m_view(aView)
  , m_outbox(aOutbox)
{
}

bool
MovePlanner::ConsumeDueRequest(base::Instant aNow)
{
  const bool delayed = m_planAt != base::Instant{} && aNow >= m_planAt;
  const bool due = m_requested || delayed;
  if (due) {
    m_requested = false;
    m_planAt = {};
  }
  return due;
}

/// Whether the row has no default target, or one that takes no new work.
bool
MovePlanner::IsUrgent(const ShardTable& aTable, const LocalRowMove& aMove) const
{
  const TargetIndex current = aTable.RowTarget(aMove.m_row);
  return current == kNoTargetIndex ||
         !m_state.Directory().At(current).m_acceptsNewWork;
}

/// Returns the number of recorded flows in each row.
RowFlowCounts
MovePlanner::CountFlows() const
{
  RowFlowCounts loads{};
  m_state.m_flows.ForEach(
    [&](const FlowTable::Entry& aEntry) { ++loads.at(aEntry.m_row); });
  return loads;
}

std::vector<LocalRowMove>
MovePlanner::DueMoves(base::Instant aNow)
{
  const RowFlowCounts loads = CountFlows();
  const bool mayBalance =
    aNow - m_pacedAt >= kPacedInterval && !m_view.HasRecentDeparture(aNow);
  const std::size_t allowed = mayBalance ? m_outbox.Budget().Spare() : 0;
  std::vector<LocalRowMove> due;
  std::size_t flows = 0;
  for (const LocalRowMove& move :
       PlanMoves(m_state.Key(), m_state.m_table, m_state.Directory(), loads)) {
    if (IsUrgent(m_state.m_table, move)) {
      due.push_back(move);
    } else if (EstimateMessageBytes(flows) < allowed) {
      due.push_back(move);
      flows += loads.at(move.m_row);
      m_pacedAt = aNow;
    } else {
      m_planAt = aNow + kPacedInterval;
    }
  }
  return due;
}

bool
MovePlanner::ConsumeUrgentRequest()
{
  if (!m_requested) {
    return false;
  }
  m_requested = false;
  ShardTable moved = m_state.m_table;
  for (const LocalRowMove& move : m_state.m_window->m_moves) {
    moved.SetRow(move.m_row, move.m_targetIndex);
  }
  const auto next = PlanMoves(m_state.Key(), moved, m_state.Directory());
  return std::ranges::any_of(
    next, [&](const LocalRowMove& aMove) { return IsUrgent(moved, aMove); });
}

std::size_t
MovePlanner::EstimateMessageBytes(std::size_t aFlows) const
{
  return m_view.LivePeers().size() *
         (kMessageBytes + (aFlows * kEncodedFlowBytes));
}

} // namespace wasabiloom::steering
