#include "wasabiloom/steering/ShardFollower.h"

#include <algorithm>

namespace wasabiloom::steering {

namespace {

/// Interval between requests while this host has no usable table.
constexpr base::Duration kAskInterval = std::chrono::milliseconds(200);

/// Age from which another host's window counts as stuck. This host may have
/// missed that the window was closed, so it requests the state of the shard.
constexpr base::Duration kWindowPatience = std::chrono::seconds(2);

/// Interval between requests about a stuck window.
constexpr base::Duration kStuckAskInterval = std::chrono::seconds(10);

/// Whether the message has a target for every row of the table.
bool
IsPlausible(const peer::Sync& aSync)
{
  return aSync.m_rows.size() == kRowsPerShard;
}

} // namespace

ShardFollower::ShardFollower(ShardState& aState,
                             ShardOwner& aOwner,
                             const peer::HostView& aView,
                             peer::Outbox& aOutbox)
  : m_state(aState)
  , m_owner(aOwner)
  , m_view(aView)
  , m_outbox(aOutbox)
{
}

void
ShardFollower::OnPropose(base::HostId aFrom,
                         const peer::Propose& aMessage,
                         base::Instant aNow)
{
  m_owner.ObserveVersion(aMessage.m_version);
  const TableVersion& committed = m_state.m_table.Version();
  if (!m_state.IsUsable() || committed < aMessage.m_basis) {
    m_outbox.Send(aFrom, m_state.MakeSyncRequest());
    return;
  }
  if (committed >= aMessage.m_version || committed > aMessage.m_basis) {
    Refuse(aFrom, committed);
    return;
  }
  if (m_state.m_window && m_state.m_window->m_version > aMessage.m_version) {
    Refuse(aFrom, m_state.m_window->m_version);
    return;
  }
  Accept(aFrom, aMessage, aNow);
}

void
ShardFollower::Refuse(base::HostId aFrom, const TableVersion& aHighest)
{
  peer::Contribute answer;
  answer.m_shard = m_state.Key();
  answer.m_version = aHighest;
  answer.m_committed = m_state.m_table.Version();
  m_outbox.Send(aFrom, answer);
}

void
ShardFollower::Accept(base::HostId aFrom,
                      const peer::Propose& aMessage,
                      base::Instant aNow)
{
  const bool repeated =
    m_state.m_window && m_state.m_window->m_version == aMessage.m_version;
  if (!repeated) {
    m_owner.AbortChange();
    m_state.m_window = m_state.MakeWindow(aMessage);
    m_windowSince = aNow;
  }
  peer::Contribute answer;
  answer.m_shard = m_state.Key();
  answer.m_version = aMessage.m_version;
  answer.m_committed = m_state.m_table.Version();
  answer.m_accepted = true;
  for (const auto& flow : m_state.FlowsToPin(*m_state.m_window, aNow)) {
    if (m_state.m_window->m_knownFlows.Find(flow.m_flow) == kNoTargetIndex) {
      answer.m_flows.push_back(flow);
    }
  }
  std::ranges::sort(answer.m_flows);
  m_contributed = answer.m_flows;
  m_outbox.Budget().Spend(answer.m_flows.size() * kEncodedFlowBytes);
  m_outbox.Send(aFrom, answer);
}

void
ShardFollower::OnCommit(base::HostId aFrom,
                        const peer::Commit& aMessage,
                        base::Instant aNow)
{
  m_owner.ObserveVersion(aMessage.m_version);
  const bool expected =
    m_state.m_window && m_state.m_window->m_version == aMessage.m_version;
  if (expected) {
    m_state.AddKnownFlows(*m_state.m_window, m_contributed);
    m_state.AddKnownFlows(*m_state.m_window, aMessage.m_additions);
    m_state.ApplyWindow(aNow);
    m_owner.RequestPlan();
  }
  if (m_state.m_hasTable && m_state.m_table.Version() >= aMessage.m_version) {
    const peer::CommitAck ack{ m_state.Key(), aMessage.m_version };
    m_outbox.Send(aFrom, ack);
    return;
  }
  m_outbox.Send(aFrom, m_state.MakeSyncRequest());
}

void
ShardFollower::OnSyncRequest(base::HostId aFrom,
                             const peer::SyncRequest& aMessage)
{
  if (!m_state.IsUsable()) {
    return;
  }
  const peer::SyncRequest own = m_state.MakeSyncRequest();
  const bool current = aMessage.m_committed == own.m_committed &&
                       aMessage.m_window == own.m_window;
  if (!current || aMessage.m_confirm) {
    m_outbox.Send(aFrom, m_state.Describe());
  }
}

void
ShardFollower::OnSync(base::HostId aFrom,
                      const peer::Sync& aMessage,
                      base::Instant aNow)
{
  m_owner.ObserveVersion(aMessage.m_version);
  if (!IsPlausible(aMessage)) {
    return;
  }
  const TableVersion current = m_state.m_table.Version();
  m_state.m_tableConfirmed = true;
  if (!m_state.m_hasTable || aMessage.m_version > current) {
    m_owner.AbortChange();
    const auto strays = m_state.ReplaceTable(aMessage, aNow);
    if (!strays.empty()) {
      m_outbox.Send(aFrom, peer::StrayFlows{ m_state.Key(), strays });
    }
    m_owner.RequestPlan();
  } else if (aMessage.m_version < current) {
    return;
  }
  AdoptWindow(aFrom, aMessage, aNow);
}

/// Opens the window that `aMessage` contains. If it contains none, closes the
/// window of `aFrom`. Precondition: the table has the version of `aMessage`.
void
ShardFollower::AdoptWindow(base::HostId aFrom,
                           const peer::Sync& aMessage,
                           base::Instant aNow)
{
  if (!aMessage.m_window) {
    if (m_state.m_window && m_state.m_window->m_version.m_owner == aFrom) {
      m_state.m_window.reset();
      m_owner.RequestPlan();
    }
    return;
  }
  const TableVersion& version = aMessage.m_window->m_version;
  const bool known = m_state.m_window && m_state.m_window->m_version == version;
  if (!known) {
    OnPropose(version.m_owner, *aMessage.m_window, aNow);
  }
}

void
ShardFollower::Tick(base::HostId aOwner, base::Instant aNow)
{
  const bool stuck = m_state.m_window && !m_owner.HasChangeInProgress() &&
                     aNow - m_windowSince >= kWindowPatience;
  if (m_state.IsUsable() && !stuck) {
    return;
  }
  if (aNow - m_askedAt < (stuck ? kStuckAskInterval : kAskInterval)) {
    return;
  }
  m_askedAt = aNow;
  base::HostId asked = aOwner;
  if (stuck && m_view.IsLive(m_state.m_window->m_version.m_owner)) {
    asked = m_state.m_window->m_version.m_owner;
  }
  if (asked != m_view.Self()) {
    m_outbox.Send(asked, m_state.MakeSyncRequest());
  }
}

} // namespace wasabiloom::steering
