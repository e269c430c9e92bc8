/// Decides which planned moves of a shard's rows are due.
#pragma once

#include "wasabiloom/peer/HostView.h"
#include "wasabiloom/peer/Outbox.h"
#include "wasabiloom/steering/ShardState.h"

#include <vector>

namespace wasabiloom::steering {

/// Tells urgent moves from those that only improve the balance, and spreads
/// the latter over time, so that control traffic stays small and a returning
/// backend server fills gradually. One thread at a time.
class MovePlanner
{
public:
  /// The arguments must outlive the planner.
  MovePlanner(ShardState& aState,
              const peer::HostView& aView,
              peer::Outbox& aOutbox);

  /// Makes the next TakeDue true.
  void RequestPlanning() { m_requested = true; }

  /// Whether a plan was requested or put off until now; answering true uses
  /// the request up.
  bool ConsumeDueRequest(base::Instant aNow);

  /// The moves to make now.
  std::vector<LocalRowMove> DueMoves(base::Instant aNow);

  /// Whether, once the open window's moves are in force, an urgent move would
  /// be due. Uses a request up. Precondition: a window is open.
  bool ConsumeUrgentRequest();

  /// Bytes of telling every peer of `aFlows` flows.
  std::size_t EstimateMessageBytes(std::size_t aFlows) const;

private:
  bool IsUrgent(const ShardTable& aTable, const LocalRowMove& aMove) const;
  RowFlowCounts CountFlows() const;

  ShardState& m_state;
  const peer::HostView& m_view;
  peer::Outbox& m_outbox;
  bool m_requested = true;
  /// When moves put off for later are due; zero when none are.
  base::Instant m_planAt;
  base::Instant m_pacedAt;
};

} // namespace wasabiloom::steering
