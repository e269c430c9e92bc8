/// Entry point of one shard on one host: packet decisions, peer messages and
/// periodic work.
#pragma once

#include "wasabiloom/steering/ShardFollower.h"
#include "wasabiloom/steering/ShardOwner.h"
#include "wasabiloom/steering/ShardState.h"
#include "wasabiloom/steering/SteerResult.h"

namespace wasabiloom::steering {

/// Chooses the backend server for the packets of one shard. Hosts with the same
/// table make the same choice for every flow, except in rows of an open
/// migration window: there the owner of the window decides about flows that the
/// other hosts do not know. Not thread safe.
class ShardAgent
{
public:
  /// The arguments must outlive the agent.
  ShardAgent(const ShardKey& aKey,
             TargetDirectory& aDirectory,
             const peer::HostView& aView,
             peer::Outbox& aOutbox);

  /// Decides what to do with one packet and records the flow if the packet is
  /// forwarded. Allocates memory only when the flow is new to this host.
  SteerResult Steer(const PacketToSteer& aArrival, base::Instant aNow);

  /// Returns the decision that Steer would make, without recording the flow.
  SteerResult Explain(const PacketToSteer& aArrival) const;

  /// Prefetches the flow table entry that Steer will read into the CPU cache.
  void Prefetch(const FlowId& aFlow) const { m_state.m_flows.Prefetch(aFlow); }

  /// Handles a message about this shard from peer `aFrom`.
  void OnMessage(base::HostId aFrom,
                 const peer::Propose& aMessage,
                 base::Instant aNow);
  void OnMessage(base::HostId aFrom,
                 const peer::Contribute& aMessage,
                 base::Instant aNow);
  void OnMessage(base::HostId aFrom,
                 const peer::Commit& aMessage,
                 base::Instant aNow);
  void OnMessage(base::HostId aFrom,
                 const peer::CommitAck& aMessage,
                 base::Instant aNow);
  void OnMessage(base::HostId aFrom,
                 const peer::PlacementNotice& aMessage,
                 base::Instant aNow);
  void OnMessage(base::HostId aFrom,
                 const peer::StrayFlows& aMessage,
                 base::Instant aNow);
  void OnMessage(base::HostId aFrom,
                 const peer::SyncRequest& aMessage,
                 base::Instant aNow);
  void OnMessage(base::HostId aFrom,
                 const peer::Sync& aMessage,
                 base::Instant aNow);

  /// Advances table changes and removes idle flows; call it periodically.
  /// `aMayCreate` tells whether the owner may create a missing table instead of
  /// waiting for a peer's. `aMayAsk` tells whether live peers have had time to
  /// be discovered, so that the owner to request a table from is known.
  void Tick(bool aMayCreate,
            bool aMayAsk,
            std::uint64_t aBundleVersion,
            base::Instant aNow);

  /// Call when the target directory has changed: the next Tick plans row moves.
  void OnDirectoryChanged() { m_owner.RequestPlan(); }

  /// Leaves the table unused until a peer has confirmed or replaced it.
  void RequireTableConfirmation();

  const ShardState& State() const { return m_state; }

  /// Whether a change started by this host is in progress.
  bool HasChangeInProgress() const { return m_owner.HasChangeInProgress(); }

private:
  base::HostId CurrentOwner() const;
  bool IsOwnWindow() const;
  SteerResult Decide(const PacketToSteer& aArrival) const;
  SteerResult DecideMoving(const PacketToSteer& aArrival) const;
  SteerResult DecideAsWindowOwner(const PacketToSteer& aArrival) const;
  SteerResult ForwardTo(TargetIndex aSlot,
                        SteerReason aReason,
                        const PacketToSteer& aArrival) const;
  SteerResult RelayTo(base::HostId aHost,
                      SteerReason aReason,
                      const PacketToSteer& aArrival) const;
  void Remember(const PacketToSteer& aArrival,
                SteerResult& aResult,
                base::Instant aNow);
  void SendNotices(const PacketToSteer& aArrival, const SteerResult& aResult);

  ShardState m_state;
  const peer::HostView& m_view;
  peer::Outbox& m_outbox;
  ShardOwner m_owner;
  ShardFollower m_follower;
  std::uint64_t m_viewGeneration = 0;
  base::HostId m_currentOwner;
  base::Instant m_sweptAt;
};

} // namespace wasabiloom::steering
