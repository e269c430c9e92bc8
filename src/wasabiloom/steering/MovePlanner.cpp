#include "wasabiloom/steering/MovePlanner.h"

#include <algorithm>

namespace wasabiloom::steering {

namespace {

constexpr base::Duration kPacedInterval = std::chrono::seconds(2);

/// Estimate of a message without flows; see kFlowBytes.
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
MovePlanner::TakeDue(base::Instant aNow)
{
  const bool delayed = m_planAt != base::Instant{} && aNow >= m_planAt;
  const bool due = m_requested || delayed;
  if (due) {
    m_requested = false;
    m_planAt = {};
  }
  return due;
}

/// Whether the row's default takes no new flows.
bool
MovePlanner::IsUrgent(const ShardTable& aTable, const SlotMove& aMove) const
{
  const TargetSlot current = aTable.RowTarget(aMove.m_row);
  return current == kNoSlot || !m_state.Directory().At(current).m_takesNew;
}

RowLoads
MovePlanner::CountFlows() const
{
  RowLoads loads{};
  m_state.m_flows.ForEach(
    [&](const FlowTable::Entry& aEntry) { ++loads.at(aEntry.m_row); });
  return loads;
}

std::vector<SlotMove>
MovePlanner::DueMoves(base::Instant aNow)
{
  const RowLoads loads = CountFlows();
  const bool mayBalance =
    aNow - m_pacedAt >= kPacedInterval && !m_view.HasRecentDeparture(aNow);
  const std::size_t allowed = mayBalance ? m_outbox.Budget().Spare() : 0;
  std::vector<SlotMove> due;
  std::size_t flows = 0;
  for (const SlotMove& move :
       PlanMoves(m_state.Key(), m_state.m_table, m_state.Directory(), loads)) {
    if (IsUrgent(m_state.m_table, move)) {
      due.push_back(move);
    } else if (CostOf(flows) < allowed) {
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
MovePlanner::TakeUrgentAfterWindow()
{
  if (!m_requested) {
    return false;
  }
  m_requested = false;
  ShardTable moved = m_state.m_table;
  for (const SlotMove& move : m_state.m_window->m_moves) {
    moved.SetRow(move.m_row, move.m_slot);
  }
  const auto next = PlanMoves(m_state.Key(), moved, m_state.Directory());
  return std::ranges::any_of(
    next, [&](const SlotMove& aMove) { return IsUrgent(moved, aMove); });
}

std::size_t
MovePlanner::CostOf(std::size_t aFlows) const
{
  return m_view.LivePeers().size() * (kMessageBytes + (aFlows * kFlowBytes));
}

} // namespace wasabiloom::steering
