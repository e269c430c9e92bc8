#include "wasabiloom/steering/ShardAgent.h"

namespace wasabiloom::steering {

namespace {

/// Interval between removals of idle flows; each scans the whole flow table.
constexpr base::Duration kSweepInterval = std::chrono::minutes(5);
constexpr base::HostId kNoHost{};

SteerResult
Drop(SteerReason aReason)
{
  return { SteerAction::Drop, aReason, kNoTargetIndex, kNoHost, false };
}

} // namespace

ShardAgent::ShardAgent(const ShardKey& aKey,
                       TargetDirectory& aDirectory,
                       const peer::HostView& aView,
                       peer::Outbox& aOutbox)
  : m_state(aKey, aDirectory)
  , m_view(aView)
  , m_outbox(aOutbox)
  , m_owner(m_state, aView, aOutbox)
  , m_follower(m_state, m_owner, aView, aOutbox)
{
}

base::HostId
ShardAgent::CurrentOwner() const
{
  const ShardKey& key = m_state.Key();
  return m_view.OwnerOf(HashService(key.m_service), key.m_shard);
}

SteerResult
ShardAgent::Steer(const PacketToSteer& aArrival, base::Instant aNow)
{
  SteerResult result = Decide(aArrival);
  if (result.m_action == SteerAction::Forward) {
    Remember(aArrival, result, aNow);
  }
  return result;
}

SteerResult
ShardAgent::Explain(const PacketToSteer& aArrival) const
{
  return Decide(aArrival);
}

SteerResult
ShardAgent::Decide(const PacketToSteer& aArrival) const
{
  if (!m_state.IsUsable()) {
    return RelayTo(CurrentOwner(), SteerReason::RelayNotReady, aArrival);
  }
  if (m_state.m_window &&
      m_state.m_window->m_rows.test(aArrival.m_flow.m_row)) {
    return DecideMoving(aArrival);
  }
  const ShardTable::LookupResult found =
    m_state.m_table.Lookup(aArrival.m_flow);
  const auto reason =
    found.m_isPinned ? SteerReason::Pinned : SteerReason::TableDefault;
  return ForwardTo(found.m_targetIndex, reason, aArrival);
}

SteerResult
ShardAgent::DecideMoving(const PacketToSteer& aArrival) const
{
  const MigrationWindow& window = *m_state.m_window;
  TargetIndex slot = m_state.m_flows.Find(aArrival.m_flow);
  if (slot == kNoTargetIndex) {
    slot = window.m_knownFlows.Find(aArrival.m_flow);
  }
  if (slot != kNoTargetIndex) {
    return ForwardTo(slot, SteerReason::WindowKnown, aArrival);
  }
  if (IsOwnWindow()) {
    return DecideAsWindowOwner(aArrival);
  }
  const base::HostId owner =
    m_view.IsLiveProcess(window.m_version.m_owner, window.m_ownerIncarnation)
      ? window.m_version.m_owner
      : CurrentOwner();
  return RelayTo(owner, SteerReason::RelayToWindowOwner, aArrival);
}

/// Decides about a flow that no host has reported.
///
/// Before this owner has switched to the new default targets, no host has
/// placed a flow on them, so the flow belongs to the old default. A takeover is
/// the exception: the lost owner may have switched already, so the packet is
/// dropped. After the switch, this host has placed every flow that is on a new
/// default, so a packet that cannot open a flow belongs to the old default.
SteerResult
ShardAgent::DecideAsWindowOwner(const PacketToSteer& aArrival) const
{
  const MigrationWindow& window = *m_state.m_window;
  if (window.m_newFlowsUseNewTargets && aArrival.m_mayOpenFlow) {
    const TargetIndex slot = window.NewTarget(aArrival.m_flow.m_row);
    return ForwardTo(slot, SteerReason::WindowNewDefault, aArrival);
  }
  if (window.m_takeover && !window.m_newFlowsUseNewTargets) {
    return Drop(SteerReason::DropNotReady);
  }
  const ShardTable::LookupResult found =
    m_state.m_table.Lookup(aArrival.m_flow);
  return ForwardTo(
    found.m_targetIndex, SteerReason::WindowOldDefault, aArrival);
}

SteerResult
ShardAgent::ForwardTo(TargetIndex aSlot,
                      SteerReason aReason,
                      const PacketToSteer& aArrival) const
{
  if (aSlot == kNoTargetIndex) {
    return Drop(SteerReason::DropNoTarget);
  }
  const TargetInfo& target = m_state.Directory().At(aSlot);
  if (!target.m_seenInBundle) {
    return RelayTo(CurrentOwner(), SteerReason::RelayUnknownTarget, aArrival);
  }
  if (!target.m_acceptsPackets) {
    return Drop(SteerReason::DropTargetClosed);
  }
  return { SteerAction::Forward, aReason, aSlot, kNoHost, false };
}

SteerResult
ShardAgent::RelayTo(base::HostId aHost,
                    SteerReason aReason,
                    const PacketToSteer& aArrival) const
{
  const bool relayedBefore = aArrival.m_relayedFrom != kNoHost;
  if (relayedBefore || aHost == kNoHost || aHost == m_view.Self()) {
    return Drop(SteerReason::DropNotReady);
  }
  return { SteerAction::Relay, aReason, kNoTargetIndex, aHost, false };
}

void
ShardAgent::Remember(const PacketToSteer& aArrival,
                     SteerResult& aResult,
                     base::Instant aNow)
{
  const FlowId& flow = aArrival.m_flow;
  aResult.m_isNew =
    m_state.m_flows.Put(flow, aResult.m_targetIndex, ToSeconds(aNow));
  const bool ownWindow =
    IsOwnWindow() && m_state.m_window->m_rows.test(flow.m_row);
  const bool atRisk = ownWindow || m_owner.IsCommitting(flow.m_row);
  if (atRisk) {
    SendNotices(aArrival, aResult);
  }
}

/// Reports a flow placed during a migration window to the host that relayed its
/// packet and, if the flow is new, to a backup host. The placement has to
/// survive the simultaneous loss of this host and of the relaying host.
void
ShardAgent::SendNotices(const PacketToSteer& aArrival,
                        const SteerResult& aResult)
{
  const ShardKey& key = m_state.Key();
  const TargetId target = m_state.Directory().At(aResult.m_targetIndex).m_id;
  const peer::PlacementNotice notice{ key, { aArrival.m_flow, target } };
  const base::HostId relay = aArrival.m_relayedFrom;
  if (relay != kNoHost) {
    m_outbox.Send(relay, notice);
  }
  if (!aResult.m_isNew) {
    return;
  }
  const auto backup =
    m_view.BackupOf(HashService(key.m_service), key.m_shard, relay);
  if (backup != m_view.Self()) {
    m_outbox.Send(backup, notice);
  }
}

void
ShardAgent::OnMessage(base::HostId aFrom,
                      const peer::Propose& aMessage,
                      base::Instant aNow)
{
  m_follower.OnPropose(aFrom, aMessage, aNow);
}

void
ShardAgent::OnMessage(base::HostId aFrom,
                      const peer::Contribute& aMessage,
                      base::Instant aNow)
{
  m_owner.OnContribute(aFrom, aMessage, aNow);
}

void
ShardAgent::OnMessage(base::HostId aFrom,
                      const peer::Commit& aMessage,
                      base::Instant aNow)
{
  m_follower.OnCommit(aFrom, aMessage, aNow);
}

void
ShardAgent::OnMessage(base::HostId aFrom,
                      const peer::CommitAck& aMessage,
                      base::Instant /*aNow*/)
{
  m_owner.OnCommitAck(aFrom, aMessage);
}

void
ShardAgent::OnMessage(base::HostId /*aFrom*/,
                      const peer::PlacementNotice& aMessage,
                      base::Instant aNow)
{
  const PinnedFlow& placed = aMessage.m_placed;
  const bool moving =
    m_state.m_window && m_state.m_window->m_rows.test(placed.m_flow.m_row);
  const TargetIndex slot = m_state.Directory().IndexOf(placed.m_target);
  const bool agrees =
    m_state.m_hasTable &&
    m_state.m_table.Lookup(placed.m_flow).m_targetIndex == slot;
  if (moving || agrees) {
    m_state.m_flows.Put(placed.m_flow, slot, ToSeconds(aNow));
  }
}

void
ShardAgent::OnMessage(base::HostId aFrom,
                      const peer::StrayFlows& aMessage,
                      base::Instant /*aNow*/)
{
  const base::HostId owner = CurrentOwner();
  if (owner == m_view.Self()) {
    m_owner.AddStrayFlows(aMessage.m_flows);
  } else if (owner != aFrom) {
    m_outbox.Send(owner, aMessage);
  }
}

void
ShardAgent::OnMessage(base::HostId aFrom,
                      const peer::SyncRequest& aMessage,
                      base::Instant /*aNow*/)
{
  m_follower.OnSyncRequest(aFrom, aMessage);
}

void
ShardAgent::OnMessage(base::HostId aFrom,
                      const peer::Sync& aMessage,
                      base::Instant aNow)
{
  m_follower.OnSync(aFrom, aMessage, aNow);
}

void
ShardAgent::Tick(bool aMayCreate,
                 bool aMayAsk,
                 std::uint64_t aBundleVersion,
                 base::Instant aNow)
{
  if (m_viewGeneration != m_view.Generation()) {
    m_viewGeneration = m_view.Generation();
    m_currentOwner = CurrentOwner();
    m_owner.RequestPlan();
  }
  const bool owns = m_currentOwner == m_view.Self();
  const bool mayAct = owns && (m_state.m_hasTable || aMayCreate);
  if (m_state.m_tableConfirmed) {
    m_owner.Tick(mayAct, aBundleVersion, aNow);
  }
  if (aMayAsk) {
    m_follower.Tick(m_currentOwner, aNow);
  }
  if (aNow - m_sweptAt >= kSweepInterval) {
    m_sweptAt = aNow;
    m_state.DropIdleFlows(aNow);
  }
}

void
ShardAgent::RequireTableConfirmation()
{
  m_state.m_tableConfirmed = false;
}

/// Whether this process opened the window; an earlier process of the same host
/// has another incarnation.
bool
ShardAgent::IsOwnWindow() const
{
  return m_state.m_window &&
         m_state.m_window->m_version.m_owner == m_view.Self() &&
         m_state.m_window->m_ownerIncarnation == m_view.Incarnation();
}

} // namespace wasabiloom::steering
