#include "wasabiloom/core/HostCore.h"

#include "wasabiloom/core/Explain.h"

#include <array>
#include <cstring>

namespace wasabiloom::core {

namespace {

using base::ResultCode;
using peer::HostPhase;

constexpr base::Duration kBundleAskInterval = std::chrono::milliseconds(300);

/// How long the config service may lag behind a peer's bundle.
constexpr base::Duration kConfigServiceGrace = std::chrono::milliseconds(600);
constexpr base::HostId kNoHost{};

/// Short identity of this process among all processes of all hosts.
std::uint32_t
InstanceOf(const HostIdentity& aIdentity)
{
  return static_cast<std::uint32_t>(
    base::HashText(aIdentity.m_name, aIdentity.m_incarnation));
}

std::string_view
PhaseName(HostPhase aPhase)
{
  static constexpr std::array<std::string_view, 4> sNames = {
    "joining", "ready", "leaving", "left"
  };
  return sNames.at(static_cast<std::size_t>(aPhase));
}

} // namespace

HostCore::HostCore(HostIdentity aIdentity, Effects& aEffects)
  : m_identity(std::move(aIdentity))
  , m_effects(aEffects)
  , m_membership(base::MakeHostId(m_identity.m_name),
                 m_identity.m_incarnation,
                 *this)
  , m_catalog(InstanceOf(m_identity),
              m_identity.m_trustedKeys,
              m_membership,
              *this,
              m_effects)
  , m_router(m_catalog, m_membership, m_counters, m_effects)
{
}

HostCore::~HostCore() = default;

PacketDecision
HostCore::OnPacket(std::span<const std::byte> aPacket, base::Instant aNow)
{
  NoticePause(aNow);
  return m_router.Route(aPacket, kNoHost, aNow);
}

PacketDecision
HostCore::OnRelayedPacket(std::span<const std::byte> aPacket,
                          base::HostId aFrom,
                          base::Instant aNow)
{
  NoticePause(aNow);
  return m_router.Route(aPacket, aFrom, aNow);
}

void
HostCore::Prefetch(std::span<const std::byte> aPacket)
{
  m_router.Prefetch(aPacket);
}

base::Result<void>
HostCore::OnBundle(std::string_view aSigned, base::Instant aNow)
{
  NoticePause(aNow);
  BOOST_LEAF_CHECK(m_catalog.Adopt(aSigned));
  ++m_counters.m_bundlesAccepted;
  m_effects.LogEvent({ "bundle_accepted",
                       ResultCode::Ok,
                       "version=" + std::to_string(m_catalog.Version()) });
  return {};
}

void
HostCore::OnHostList(const HostList& aList, base::Instant aNow)
{
  if (aList.m_revision <= m_listRevision) {
    return;
  }
  m_listRevision = aList.m_revision;
  m_membership.SetPeers(aList.m_hosts, aNow);
  m_catalog.SetLeaving(aList.m_leavingTargets);
  m_effects.LogEvent({ "host_list",
                       ResultCode::Ok,
                       "revision=" + std::to_string(m_listRevision) });
}

void
HostCore::Send(base::HostId aTo, const peer::Message& aMessage)
{
  const peer::PeerAddress* peer = m_membership.Find(aTo);
  if (peer == nullptr) {
    return;
  }
  m_membership.NoteSent(aTo, m_tickedAt);
  m_effects.SendPeer(
    peer->m_peer, { m_membership.Self(), m_identity.m_incarnation, aMessage });
}

void
HostCore::OnPeer(const peer::Datagram& aDatagram, base::Instant aNow)
{
  NoticePause(aNow);
  ++m_counters.m_peerMessages;
  const base::HostId from = aDatagram.m_from;
  if (!m_membership.Hear(from, aDatagram.m_incarnation, aNow)) {
    m_counters.Refuse(ResultCode::PeerUnknown);
    return;
  }
  std::visit([&](const auto& aMessage) { Dispatch(from, aMessage, aNow); },
             aDatagram.m_message);
}

template<typename T>
void
HostCore::Dispatch(base::HostId aFrom, const T& aMessage, base::Instant aNow)
{
  ServiceRuntime* service = m_catalog.Find(aMessage.m_shard.m_service);
  if (service == nullptr) {
    AnswerForUnknownShard(aFrom, aMessage);
    return;
  }
  const std::uint8_t shard = aMessage.m_shard.m_shard;
  service->Shard(shard).OnMessage(aFrom, aMessage, aNow);
}

/// A host that does not know a service holds no flows of it and steers none.
void
HostCore::AnswerForUnknownShard(base::HostId aFrom,
                                const peer::Message& aMessage)
{
  if (const auto* propose = std::get_if<peer::Propose>(&aMessage)) {
    peer::Contribute answer;
    answer.m_shard = propose->m_shard;
    answer.m_version = propose->m_version;
    answer.m_accepted = true;
    Send(aFrom, answer);
  }
  if (const auto* commit = std::get_if<peer::Commit>(&aMessage)) {
    Send(aFrom, peer::CommitAck{ commit->m_shard, commit->m_version });
  }
}

void
HostCore::Dispatch(base::HostId aFrom,
                   const peer::Heartbeat& aMessage,
                   base::Instant /*aNow*/)
{
  m_membership.OnHeartbeat(aFrom, aMessage);
}

void
HostCore::Dispatch(base::HostId /*aFrom*/,
                   const peer::LoadReports& aMessage,
                   base::Instant aNow)
{
  ServiceRuntime* service = m_catalog.Find(aMessage.m_service);
  if (service != nullptr) {
    service->Health().OnPeerReports(aMessage.m_reports, aNow);
  }
}

void
HostCore::Dispatch(base::HostId aFrom,
                   const peer::BundleRequest& /*aMessage*/,
                   base::Instant /*aNow*/)
{
  if (!m_catalog.SignedBundle().empty()) {
    Send(aFrom, peer::BundleReply{ m_catalog.SignedBundle() });
  }
}

void
HostCore::Dispatch(base::HostId /*aFrom*/,
                   const peer::BundleReply& aMessage,
                   base::Instant aNow)
{
  base::Handle(
    [&]() -> base::Result<void> {
      return OnBundle(aMessage.m_signedBundle, aNow);
    },
    [&](const base::Problem& aProblem) {
      m_counters.Refuse(aProblem.m_code);
      m_effects.LogEvent(
        { "peer_bundle_refused", aProblem.m_code, aProblem.m_detail });
    });
}

void
HostCore::OnBackend(const request::Envelope& aEnvelope, base::Instant aNow)
{
  std::uint64_t word = 0;
  std::memcpy(&word, aEnvelope.m_id.data(), sizeof(word));
  const steering::ServiceId id{ static_cast<std::uint32_t>(word) };
  ServiceRuntime* service = m_catalog.Find(id);
  if (service == nullptr) {
    m_counters.Refuse(ResultCode::ValueNotFound);
    return;
  }
  service->Requests().OnBackendDatagram(aEnvelope, aNow);
}

void
HostCore::OnReport(const steering::ServiceId& aService,
                   const health::TargetReport& aReport,
                   base::Instant aNow)
{
  ServiceRuntime* service = m_catalog.Find(aService);
  if (service != nullptr) {
    service->Health().OnReport(aReport, aNow);
  }
}

void
HostCore::OnTick(base::Instant aNow)
{
  NoticePause(aNow);
  m_tickedAt = aNow;
  m_budget.Refill(aNow);
  m_membership.Tick(Versions(), aNow);
  RequestNewerBundle(aNow);
  UpdatePhase(aNow);
  const bool ready = m_membership.Phase() == HostPhase::Ready;
  const bool mayCreate =
    ready || (m_membership.HasListened(aNow) && !m_membership.HasReadyPeer());
  for (const auto& [id, service] : m_catalog.All()) {
    service->Tick(mayCreate && !m_mustRevalidate,
                  m_membership.HasListened(aNow),
                  m_catalog.Version(),
                  aNow);
  }
}

/// Every input asks first: what a paused process finds waiting for it must not
/// be handled with what it knew before.
void
HostCore::NoticePause(base::Instant aNow)
{
  const bool started = m_tickedAt != base::Instant{};
  if (started && aNow - m_tickedAt > kPauseLimit) {
    m_tickedAt = aNow;
    OnWake(aNow);
  }
}

void
HostCore::OnWake(base::Instant aNow)
{
  m_membership.ForgetAll(aNow);
  m_mustRevalidate = true;
  if (m_membership.Phase() == HostPhase::Ready) {
    SetPhase(HostPhase::Joining, aNow);
  }
}

void
HostCore::UpdatePhase(base::Instant aNow)
{
  if (m_membership.Phase() != HostPhase::Joining ||
      !m_membership.HasListened(aNow)) {
    return;
  }
  if (m_mustRevalidate) {
    m_mustRevalidate = false;
    if (m_membership.HasReadyPeer()) {
      for (const auto& [id, service] : m_catalog.All()) {
        service->RevalidateTables();
      }
    }
  }
  if (m_catalog.IsComplete() && m_membership.IsHeardByAll()) {
    SetPhase(HostPhase::Ready, aNow);
  }
}

void
HostCore::SetPhase(HostPhase aPhase, base::Instant aNow)
{
  m_membership.SetPhase(aPhase, Versions(), aNow);
  m_effects.LogEvent(
    { "phase", ResultCode::Ok, std::string(PhaseName(aPhase)) });
}

peer::KnownVersions
HostCore::Versions() const
{
  return { m_catalog.Version(), m_listRevision };
}

void
HostCore::RequestNewerBundle(base::Instant aNow)
{
  if (aNow - m_bundleAskedAt < kBundleAskInterval) {
    return;
  }
  const base::HostId peer =
    m_membership.PeerWithBundleAbove(m_catalog.Version());
  if (peer == kNoHost) {
    m_behindSince = aNow;
    return;
  }
  if (aNow - m_behindSince >= kConfigServiceGrace) {
    m_bundleAskedAt = aNow;
    Send(peer, peer::BundleRequest{});
  }
}

void
HostCore::BeginLeave(base::Instant aNow)
{
  SetPhase(HostPhase::Leaving, aNow);
}

bool
HostCore::IsDrained() const
{
  return m_catalog.IsIdle();
}

void
HostCore::FinishLeave(base::Instant aNow)
{
  SetPhase(HostPhase::Left, aNow);
}

bool
HostCore::IsReady() const
{
  return m_membership.Phase() == HostPhase::Ready;
}

HostStatus
HostCore::Status() const
{
  HostStatus status;
  status.m_host = m_identity.m_name;
  status.m_zone = m_identity.m_zone;
  status.m_ready = IsReady();
  status.m_bundleVersion = m_catalog.Version();
  status.m_listRevision = m_listRevision;
  for (const base::HostId host : m_membership.LivePeers()) {
    status.m_livePeers.push_back(m_membership.Find(host)->m_name);
  }
  for (const auto& [id, service] : m_catalog.All()) {
    status.m_flows += service->FlowCount();
    status.m_requestsInProgress += service->Requests().InProgressCount();
    status.m_services.push_back(service->Status());
  }
  return status;
}

std::size_t
HostCore::FlowMemoryBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [id, service] : m_catalog.All()) {
    bytes += service->FlowMemoryBytes();
  }
  return bytes;
}

base::Result<Explanation>
HostCore::Explain(const packet::FlowKey& aFlow) const
{
  ServiceRuntime* service = m_catalog.Find(aFlow.m_service);
  if (service == nullptr) {
    return base::Fail(ResultCode::ValueNotFound,
                      "no service at " + ToString(aFlow.m_service.m_endpoint));
  }
  return ExplainFlow(*service, m_membership, aFlow);
}

} // namespace wasabiloom::core
