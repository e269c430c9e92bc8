/// The owner's side of changing a shard's table.
#pragma once

#include "wasabiloom/peer/HostView.h"
#include "wasabiloom/peer/Outbox.h"
#include "wasabiloom/steering/MovePlanner.h"
#include "wasabiloom/steering/ShardState.h"

#include <map>
#include <optional>
#include <set>

namespace wasabiloom::steering {

/// Moves rows in three steps: every live host closes the rows and tells the
/// flows it knows; the owner switches; every live host commits. A host that
/// stops being live is no longer waited for. After a departure the commit
/// waits, unless another change is due, so that flows which only the departed
/// host had seen can show themselves. One thread at a time.
class ShardOwner
{
public:
  /// The arguments must outlive the owner.
  ShardOwner(ShardState& aState,
             const peer::HostView& aView,
             peer::Outbox& aOutbox);

  /// Plans and starts a change if one is due, and repeats what was lost.
  /// `aBundleVersion` numbers the first table of a shard. Precondition:
  /// this host owns the shard, or a change of its own is under way.
  void Tick(bool aOwns, std::uint64_t aBundleVersion, base::Instant aNow);

  void OnContribute(base::HostId aFrom,
                    const peer::Contribute& aMessage,
                    base::Instant aNow);
  void OnCommitAck(base::HostId aFrom, const peer::CommitAck& aMessage);

  /// Gives up a change that has not switched yet.
  void AbortChange();

  /// Remembers a version that another host used.
  void ObserveVersion(const TableVersion& aVersion);

  /// Takes in flows that were missed when the table changed.
  void AddStrayFlows(const std::vector<PinnedFlow>& aFlows);

  /// Makes the next Tick plan anew.
  void RequestPlan() { m_planner.RequestPlanning(); }

  /// Whether a change of this host has switched and is being committed in
  /// `aRow`.
  bool IsCommitting(std::uint16_t aRow) const;

  /// Whether a change of this host is under way.
  bool HasChangeInProgress() const { return m_progress.has_value(); }

private:
  enum class Stage : std::uint8_t
  {
    /// Waiting for every live host's flows.
    Gathering,
    /// New flows go to the new defaults; unknown ones may still show up.
    Lingering,
    /// Waiting for every live host's acknowledgement.
    Committing,
  };

  struct Progress
  {
    Stage m_stage = Stage::Gathering;
    TableVersion m_version;
    RowSet m_rows;
    std::set<base::HostId> m_awaited;
    std::vector<PinnedFlow> m_proposed;
    std::vector<PinnedFlow> m_additions;
    std::map<base::HostId, std::vector<PinnedFlow>> m_contributed;
    peer::Propose m_propose;
    base::Instant m_sentAt;
  };

  void CreateFirstTable(std::uint64_t aBundleVersion);
  void StartIfDue(base::Instant aNow);
  std::vector<LocalRowMove> MovesDue(bool aTakeover, base::Instant aNow);
  void Start(std::vector<LocalRowMove> aMoves,
             bool aTakeover,
             base::Instant aNow);
  void Advance(base::Instant aNow);
  void Switch(base::Instant aNow);
  bool MayCommit(base::Instant aNow);
  peer::Commit CommitFor(base::HostId aHost) const;
  void SendCommit(base::Instant aNow);
  void AwaitAll();
  void SendToAwaited(base::Instant aNow);
  void DropDeadAwaited();
  TableVersion NextVersion() const;

  ShardState& m_state;
  const peer::HostView& m_view;
  peer::Outbox& m_outbox;
  MovePlanner m_planner;
  std::optional<Progress> m_progress;
  TableVersion m_highest;
  std::vector<PinnedFlow> m_strays;
};

} // namespace wasabiloom::steering
