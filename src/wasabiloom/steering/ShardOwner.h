/// Protocol by which the owner of a shard changes the shard's table.
#pragma once

#include "wasabiloom/peer/HostView.h"
#include "wasabiloom/peer/Outbox.h"
#include "wasabiloom/steering/MovePlanner.h"
#include "wasabiloom/steering/ShardState.h"

#include <map>
#include <optional>
#include <set>

namespace wasabiloom::steering {

/// Moves rows to new default targets in three steps. First every live host
/// opens the migration window, from then on relays unknown flows of its rows,
/// and reports the flows it knows. Then the owner places new flows on the new
/// defaults. Finally every live host commits the change. A host that is no
/// longer live is not waited for. After the departure of a host the commit is
/// delayed, unless an urgent change is due, so that packets can reveal the
/// flows that only the departed host had seen. Not thread safe.
class ShardOwner
{
public:
  /// The arguments must outlive the owner.
  ShardOwner(ShardState& aState,
             const peer::HostView& aView,
             peer::Outbox& aOutbox);

  /// Advances the change in progress and resends unanswered messages. Without a
  /// change in progress, and if `aOwns` is set, creates the first table or
  /// starts a change that is due. `aOwns` tells whether this host may act as
  /// the owner of the shard; `aBundleVersion` becomes the sequence number of
  /// the first table.
  void Tick(bool aOwns, std::uint64_t aBundleVersion, base::Instant aNow);

  /// Adds the flows that `aFrom` reports to the change in progress. Gives the
  /// change up if `aFrom` refused it, and requests the table if that of `aFrom`
  /// is newer.
  void OnContribute(base::HostId aFrom,
                    const peer::Contribute& aMessage,
                    base::Instant aNow);

  /// Records that `aFrom` has committed the change in progress.
  void OnCommitAck(base::HostId aFrom, const peer::CommitAck& aMessage);

  /// Gives up the change in progress. Its window is discarded unless the change
  /// has already been committed on this host.
  void AbortChange();

  /// Records a version that some host has used, so that the next version is
  /// higher.
  void ObserveVersion(const TableVersion& aVersion);

  /// Adds flows that were missed when the table changed; the next change pins
  /// them.
  void AddStrayFlows(const std::vector<PinnedFlow>& aFlows);

  /// Makes the next Tick plan row moves, unless a change is in progress then.
  void RequestPlan() { m_planner.RequestPlanning(); }

  /// Whether `aRow` belongs to a change of this host that waits for commit
  /// acknowledgements.
  bool IsCommitting(std::uint16_t aRow) const;

  /// Whether a change of this host is in progress.
  bool HasChangeInProgress() const { return m_progress.has_value(); }

private:
  enum class Stage : std::uint8_t
  {
    /// The owner waits for every live host to report its flows.
    Gathering,
    /// New flows go to the new default targets. The commit is delayed, since
    /// packets may still reveal flows that no live host has reported.
    Lingering,
    /// The owner waits for every live host to acknowledge the commit.
    Committing,
  };

  /// The change in progress.
  struct Progress
  {
    Stage m_stage = Stage::Gathering;
    TableVersion m_version;
    RowSet m_rows;
    /// Hosts whose answer is outstanding.
    std::set<base::HostId> m_awaited;
    /// Known flows that the proposal contained, sorted.
    std::vector<PinnedFlow> m_proposed;
    /// Known flows that the proposal lacked; the commit contains them.
    std::vector<PinnedFlow> m_additions;
    /// Flows that each host has reported.
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
  /// Highest version that this host has heard of.
  TableVersion m_highest;
  /// Flows that earlier changes missed.
  std::vector<PinnedFlow> m_strays;
};

} // namespace wasabiloom::steering
