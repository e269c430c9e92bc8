/// Decides which of a shard's planned row moves are due.
#pragma once

#include "wasabiloom/peer/HostView.h"
#include "wasabiloom/peer/Outbox.h"
#include "wasabiloom/steering/ShardState.h"

#include <vector>

namespace wasabiloom::steering {

/// Separates urgent moves from moves that only improve the balance. The latter
/// are spread over time, which limits control traffic and lets a returning
/// backend server take up load gradually. Not thread safe.
class MovePlanner
{
public:
  /// The arguments must outlive the planner.
  MovePlanner(ShardState& aState,
              const peer::HostView& aView,
              peer::Outbox& aOutbox);

  /// Requests planning: the next call of ConsumeDueRequest returns true.
  void RequestPlanning() { m_requested = true; }

  /// Returns whether planning was requested, or postponed until a time that has
  /// come. If so, clears the request.
  bool ConsumeDueRequest(base::Instant aNow);

  /// Returns the moves to make now, and schedules planning for the moves that
  /// are postponed.
  std::vector<LocalRowMove> DueMoves(base::Instant aNow);

  /// Returns whether planning was requested and an urgent move will be due once
  /// the moves of the open window are applied. Clears the request.
  /// Precondition: a window is open.
  bool ConsumeUrgentRequest();

  /// Estimates the bytes needed to report `aFlows` flows to every live peer.
  std::size_t EstimateMessageBytes(std::size_t aFlows) const;

private:
  bool IsUrgent(const ShardTable& aTable, const LocalRowMove& aMove) const;
  RowFlowCounts CountFlows() const;

  ShardState& m_state;
  const peer::HostView& m_view;
  peer::Outbox& m_outbox;
  bool m_requested = true;
  /// Time at which the postponed moves are due; zero if none are postponed.
  base::Instant m_planAt;
  /// Time of the last move that only improved the balance.
  base::Instant m_pacedAt;
};

} // namespace wasabiloom::steering
