/// Protocol by which the other hosts take part in changes of a shard's table.
#pragma once

#include "wasabiloom/peer/HostView.h"
#include "wasabiloom/peer/Outbox.h"
#include "wasabiloom/steering/ShardOwner.h"
#include "wasabiloom/steering/ShardState.h"

namespace wasabiloom::steering {

/// Answers the messages of the owner, and requests the table or a window that
/// this host has missed. Not thread safe.
class ShardFollower
{
public:
  /// The arguments must outlive the follower.
  ShardFollower(ShardState& aState,
                ShardOwner& aOwner,
                const peer::HostView& aView,
                peer::Outbox& aOutbox);

  /// Opens the proposed window and reports the flows that the proposal lacks.
  /// Refuses a proposal that is based on an outdated table or has a lower
  /// version than the open window. Requests the table if this host has no
  /// usable one or an older one than the proposal is based on.
  void OnPropose(base::HostId aFrom,
                 const peer::Propose& aMessage,
                 base::Instant aNow);
  /// Applies the open window if `aMessage` commits it. Acknowledges the commit
  /// once the table has at least its version, and requests the table otherwise.
  void OnCommit(base::HostId aFrom,
                const peer::Commit& aMessage,
                base::Instant aNow);
  /// Sends the state of the shard to `aFrom`, unless this host has no usable
  /// table or `aFrom` has the same state and asks for no confirmation.
  void OnSyncRequest(base::HostId aFrom, const peer::SyncRequest& aMessage);
  /// Marks the table of this host as confirmed, and adopts the table and window
  /// of the message unless its table is older. Reports the recently seen flows
  /// that contradict an adopted table to `aFrom`. Ignores a message without a
  /// target for every row.
  void OnSync(base::HostId aFrom,
              const peer::Sync& aMessage,
              base::Instant aNow);

  /// Requests the state of the shard while this host has no usable table, or
  /// when another host's window has been open for too long. The request goes to
  /// the live owner of that window, otherwise to `aOwner`.
  void Tick(base::HostId aOwner, base::Instant aNow);

private:
  void Accept(base::HostId aFrom,
              const peer::Propose& aMessage,
              base::Instant aNow);
  void AdoptWindow(base::HostId aFrom,
                   const peer::Sync& aMessage,
                   base::Instant aNow);
  void Refuse(base::HostId aFrom, const TableVersion& aHighest);

  ShardState& m_state;
  ShardOwner& m_owner;
  const peer::HostView& m_view;
  peer::Outbox& m_outbox;
  /// Flows that this host has reported to the owner of the open window.
  std::vector<PinnedFlow> m_contributed;
  /// Time of the last request for the state of the shard.
  base::Instant m_askedAt;
  /// Time at which the open window was accepted.
  base::Instant m_windowSince;
};

} // namespace wasabiloom::steering
