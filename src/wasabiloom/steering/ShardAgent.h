/// One shard of one service on one host: steering and table changes.
#pragma once

#include "wasabiloom/steering/ShardFollower.h"
#include "wasabiloom/steering/ShardOwner.h"
#include "wasabiloom/steering/ShardState.h"
#include "wasabiloom/steering/SteerResult.h"

namespace wasabiloom::steering {

/// Steers the packets of one shard. All hosts with the same table agree on
/// every flow outside a window; inside a window the owner decides. One thread
/// at a time.
class ShardAgent
{
public:
  /// The arguments must outlive the agent.
  ShardAgent(const ShardKey& aKey,
             TargetDirectory& aDirectory,
             const peer::HostView& aView,
             peer::Outbox& aOutbox);

  /// Decides on one packet. Allocates only when it remembers a new flow.
  SteerResult Steer(const PacketToSteer& aArrival, base::Instant aNow);

  /// The decision Steer would take, without remembering anything.
  SteerResult Explain(const PacketToSteer& aArrival) const;

  /// Loads what Steer will need into the processor's cache.
  void Prefetch(const FlowId& aFlow) const { m_state.m_flows.Prefetch(aFlow); }

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

  /// Drives changes. `aMayCreate` tells whether a missing table may be
  /// created rather than awaited, `aMayAsk` whether peers had time to show
  /// themselves, so that it is known whom to ask.
  void Tick(bool aMayCreate,
            bool aMayAsk,
            std::uint64_t aBundleVersion,
            base::Instant aNow);

  /// Tells that the directory changed.
  void OnDirectoryChanged() { m_owner.RequestPlan(); }

  /// Stops using the table until a peer has confirmed or replaced it.
  void RequireTableConfirmation();

  const ShardState& State() const { return m_state; }
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
