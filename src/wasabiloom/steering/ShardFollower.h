/// The other hosts' side of changing a shard's table.
#pragma once

#include "wasabiloom/peer/HostView.h"
#include "wasabiloom/peer/Outbox.h"
#include "wasabiloom/steering/ShardOwner.h"
#include "wasabiloom/steering/ShardState.h"

namespace wasabiloom::steering {

/// Answers the owner's messages and fetches what this host missed. One
/// thread at a time.
class ShardFollower
{
public:
  /// The arguments must outlive the follower.
  ShardFollower(ShardState& aState,
                ShardOwner& aOwner,
                const peer::HostView& aView,
                peer::Outbox& aOutbox);

  void OnPropose(base::HostId aFrom,
                 const peer::Propose& aMessage,
                 base::Instant aNow);
  void OnCommit(base::HostId aFrom,
                const peer::Commit& aMessage,
                base::Instant aNow);
  void OnSyncRequest(base::HostId aFrom, const peer::SyncRequest& aMessage);
  void OnSync(base::HostId aFrom,
              const peer::Sync& aMessage,
              base::Instant aNow);

  /// Asks `aOwner` for the table while there is none, or while a window has
  /// been open for long.
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
  /// Flows this host told the owner of the open window.
  std::vector<PinnedFlow> m_contributed;
  base::Instant m_askedAt;
  base::Instant m_windowSince;
};

} // namespace wasabiloom::steering
