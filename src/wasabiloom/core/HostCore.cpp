#include "wasabiloom/core/HostCore.h"

#include "wasabiloom/bundle/SignedBundle.h"
#include "wasabiloom/wire/EnvelopeCodec.h"

#include <algorithm>
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

std::uint64_t
AddressKey(const packet::ServiceAddress& aAddress)
{
  return (base::Pack(aAddress.m_endpoint) << 8) |
         static_cast<std::uint64_t>(aAddress.m_protocol);
}

std::uint64_t
RequestHash(const packet::FlowKey& aFlow, const std::string& aId)
{
  return base::HashText(aId, base::Pack(aFlow.m_caller));
}

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

ResultCode
CodeOf(steering::SteerReason aReason)
{
  switch (aReason) {
    case steering::SteerReason::DropTargetClosed:
      return ResultCode::ZoneOut;
    case steering::SteerReason::DropNoTarget:
      return ResultCode::NoEligibleTarget;
    default:
      return ResultCode::NotReady;
  }
}

} // namespace

HostCore::HostCore(HostIdentity aIdentity, Effects& aEffects)
  : m_identity(std::move(aIdentity))
  , m_effects(aEffects)
  , m_membership(base::MakeHostId(m_identity.m_name),
                 m_identity.m_incarnation,
                 *this)
{
}

HostCore::~HostCore() = default;

// --- packets ----------------------------------------------------------------

PacketVerdict
HostCore::OnPacket(std::span<const std::byte> aPacket, base::Instant aNow)
{
  return Handle(aPacket, kNoHost, aNow);
}

PacketVerdict
HostCore::OnRelayedPacket(std::span<const std::byte> aPacket,
                          base::HostId aFrom,
                          base::Instant aNow)
{
  return Handle(aPacket, aFrom, aNow);
}

void
HostCore::Prefetch(std::span<const std::byte> aPacket)
{
  const packet::ParsedPacket parsed = packet::ParsePacket(aPacket);
  if (parsed.m_code != ResultCode::Ok) {
    return;
  }
  const packet::FlowKey& flow = parsed.m_view.m_flow;
  ServiceRuntime* service = FindService(flow.m_service);
  if (service != nullptr) {
    const std::uint64_t hash = packet::HashFlow(flow);
    service->Shard(steering::ShardOf(hash)).Prefetch(steering::FlowIdOf(hash));
  }
}

PacketVerdict
HostCore::Handle(std::span<const std::byte> aPacket,
                 base::HostId aRelayedFrom,
                 base::Instant aNow)
{
  NoticePause(aNow);
  const packet::ParsedPacket parsed = packet::ParsePacket(aPacket);
  if (parsed.m_code != ResultCode::Ok) {
    return Refuse(parsed.m_code);
  }
  const packet::PacketView& view = parsed.m_view;
  if (m_membership.Phase() == HostPhase::Joining && aRelayedFrom == kNoHost) {
    return RelayTo(m_membership.OwnerOf(packet::HashFlow(view.m_flow), 0));
  }
  ServiceRuntime* service = FindService(view.m_flow.m_service);
  if (service == nullptr) {
    return Refuse(ResultCode::PacketForeignService);
  }
  if (service->Service().m_mode == bundle::ServiceMode::Requests) {
    return HandleRequest(*service, view, aRelayedFrom, aNow);
  }
  return HandleConnection(*service, view, aRelayedFrom, aNow);
}

PacketVerdict
HostCore::HandleConnection(ServiceRuntime& aService,
                           const packet::PacketView& aView,
                           base::HostId aRelayedFrom,
                           base::Instant aNow)
{
  const std::uint64_t hash = packet::HashFlow(aView.m_flow);
  const bool mayOpen =
    aView.m_opens || aView.m_flow.m_service.m_protocol == packet::Protocol::Udp;
  const steering::Arrival arrival{ steering::FlowIdOf(hash),
                                   mayOpen,
                                   aRelayedFrom };
  steering::ShardAgent& shard = aService.Shard(steering::ShardOf(hash));
  const steering::SteerResult result = shard.Steer(arrival, aNow);
  switch (result.m_action) {
    case steering::SteerAction::Relay:
      return RelayTo(result.m_relayTo);
    case steering::SteerAction::Drop:
      return Refuse(CodeOf(result.m_reason));
    case steering::SteerAction::Forward:
      break;
  }
  const steering::TargetInfo& target = aService.Directory().At(result.m_slot);
  ++m_counters.m_forwarded;
  if (result.m_isNew) {
    LogPlacement(
      aService, aView, result, target.m_name, aRelayedFrom != kNoHost);
  }
  return { PacketAction::Forward, target.m_endpoint, ResultCode::Ok };
}

void
HostCore::LogPlacement(const ServiceRuntime& aService,
                       const packet::PacketView& aView,
                       const steering::SteerResult& aResult,
                       std::string_view aTarget,
                       bool aRelayed)
{
  ++m_counters.m_flowsSeen;
  m_counters.m_flowsOpened += aView.m_opens ? 1 : 0;
  FlowDecision decision;
  decision.m_flow = aView.m_flow;
  decision.m_service = aService.Service().m_name;
  decision.m_target = aTarget;
  decision.m_reason = aResult.m_reason;
  decision.m_opens = aView.m_opens;
  decision.m_relayed = aRelayed;
  m_effects.LogFlow(decision);
}

PacketVerdict
HostCore::HandleRequest(ServiceRuntime& aService,
                        const packet::PacketView& aView,
                        base::HostId aRelayedFrom,
                        base::Instant aNow)
{
  ++m_counters.m_requestPackets;
  return base::Handle(
    [&]() -> base::Result<PacketVerdict> {
      BOOST_LEAF_AUTO(envelope, wire::DecodeEnvelope(aView.m_payload));
      const bool fromCaller =
        envelope.m_kind == request::EnvelopeKind::Request ||
        envelope.m_kind == request::EnvelopeKind::Cancel;
      if (!fromCaller) {
        return Refuse(ResultCode::EnvelopeMalformed);
      }
      const auto hash = RequestHash(aView.m_flow, envelope.m_id);
      const base::HostId home = m_membership.OwnerOf(hash, 0);
      const bool leaving = m_membership.Phase() == HostPhase::Leaving;
      if (home != m_membership.Self() && (aRelayedFrom == kNoHost || leaving)) {
        return RelayTo(home);
      }
      aService.Requests().OnCaller(aView.m_flow, envelope, aNow);
      return PacketVerdict{ PacketAction::Consumed, {}, ResultCode::Ok };
    },
    [&](const base::Problem& aProblem) { return Refuse(aProblem.m_code); });
}

PacketVerdict
HostCore::Refuse(ResultCode aCode)
{
  m_counters.Refuse(aCode);
  return { PacketAction::Drop, {}, aCode };
}

PacketVerdict
HostCore::RelayTo(base::HostId aHost)
{
  const peer::PeerAddress* peer = m_membership.Find(aHost);
  if (peer == nullptr) {
    return Refuse(ResultCode::NotReady);
  }
  ++m_counters.m_relayed;
  return { PacketAction::Relay, peer->m_relay, ResultCode::Ok };
}

ServiceRuntime*
HostCore::FindService(const packet::ServiceAddress& aAddress) const
{
  const auto found = m_byAddress.find(AddressKey(aAddress));
  return found == m_byAddress.end() ? nullptr : found->second;
}

// --- bundle and host list ---------------------------------------------------

base::Result<void>
HostCore::OnBundle(std::string_view aSigned, base::Instant /*aNow*/)
{
  BOOST_LEAF_AUTO(bundle,
                  bundle::OpenBundle(aSigned, m_identity.m_trustedKeys));
  if (bundle.m_version <= m_bundle.m_version) {
    return base::Fail(ResultCode::BundleVersionNotNewer,
                      "version " + std::to_string(bundle.m_version) +
                        ", expected above " +
                        std::to_string(m_bundle.m_version));
  }
  m_signedBundle = aSigned;
  Install(bundle);
  ++m_counters.m_bundlesAccepted;
  m_effects.LogEvent({ "bundle_accepted",
                       ResultCode::Ok,
                       "version=" + std::to_string(m_bundle.m_version) });
  return {};
}

void
HostCore::Install(const bundle::Bundle& aBundle)
{
  m_bundle = aBundle;
  m_byAddress.clear();
  std::map<steering::ServiceId, std::unique_ptr<ServiceRuntime>> kept;
  for (const bundle::Service& service : m_bundle.m_services) {
    const auto id = steering::MakeServiceId(service.m_name);
    auto& runtime = kept[id];
    const auto existing = m_services.find(id);
    if (existing != m_services.end()) {
      runtime = std::move(existing->second);
    } else {
      peer::Outbox& outbox = *this;
      runtime = std::make_unique<ServiceRuntime>(
        service, InstanceOf(m_identity), m_membership, outbox, m_effects);
    }
    runtime->Adopt(m_bundle, service);
    runtime->SetLeaving(m_list.m_leavingTargets);
    m_byAddress[AddressKey(service.m_address)] = runtime.get();
  }
  m_services = std::move(kept);
}

void
HostCore::OnHostList(const HostList& aList, base::Instant aNow)
{
  if (aList.m_revision <= m_list.m_revision) {
    return;
  }
  m_list = aList;
  m_membership.SetPeers(aList.m_hosts, aNow);
  for (const auto& [id, service] : m_services) {
    service->SetLeaving(m_list.m_leavingTargets);
  }
  m_effects.LogEvent({ "host_list",
                       ResultCode::Ok,
                       "revision=" + std::to_string(m_list.m_revision) });
}

// --- peers ------------------------------------------------------------------

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
  const auto found = m_services.find(aMessage.m_shard.m_service);
  if (found == m_services.end()) {
    AnswerForUnknownShard(aFrom, aMessage);
    return;
  }
  const std::uint8_t shard = aMessage.m_shard.m_shard;
  found->second->Shard(shard).OnMessage(aFrom, aMessage, aNow);
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
  const auto found = m_services.find(aMessage.m_service);
  if (found != m_services.end()) {
    found->second->Health().OnPeerReports(aMessage.m_reports, aNow);
  }
}

void
HostCore::Dispatch(base::HostId aFrom,
                   const peer::BundleRequest& /*aMessage*/,
                   base::Instant /*aNow*/)
{
  if (!m_signedBundle.empty()) {
    Send(aFrom, peer::BundleReply{ m_signedBundle });
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
  const auto found = m_services.find(id);
  if (found == m_services.end()) {
    m_counters.Refuse(ResultCode::ValueNotFound);
    return;
  }
  found->second->Requests().OnBackend(aEnvelope, aNow);
}

void
HostCore::OnReport(const steering::ServiceId& aService,
                   const health::TargetReport& aReport,
                   base::Instant aNow)
{
  const auto found = m_services.find(aService);
  if (found != m_services.end()) {
    found->second->Health().OnReport(aReport, aNow);
  }
}

// --- time and phases --------------------------------------------------------

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
  for (const auto& [id, service] : m_services) {
    service->Tick(mayCreate && !m_mustRevalidate,
                  m_membership.HasListened(aNow),
                  m_bundle.m_version,
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
      for (const auto& [id, service] : m_services) {
        service->RevalidateTables();
      }
    }
  }
  const bool complete = m_bundle.m_version > 0 && HasAllTables();
  if (complete && m_membership.IsHeardByAll()) {
    if (m_membership.HasReadyPeer()) {
      m_membership.AssumeDeparture(aNow);
    }
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

bool
HostCore::HasAllTables() const
{
  return std::ranges::all_of(
    m_services, [](const auto& aItem) { return aItem.second->HasTables(); });
}

peer::KnownVersions
HostCore::Versions() const
{
  return { m_bundle.m_version, m_list.m_revision };
}

void
HostCore::RequestNewerBundle(base::Instant aNow)
{
  if (aNow - m_bundleAskedAt < kBundleAskInterval) {
    return;
  }
  const base::HostId peer =
    m_membership.PeerWithBundleAbove(m_bundle.m_version);
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
  return std::ranges::none_of(m_services, [](const auto& aItem) {
    return aItem.second->IsBusy() || aItem.second->Requests().InProgress() > 0;
  });
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

// --- operators --------------------------------------------------------------

HostStatus
HostCore::Status() const
{
  HostStatus status;
  status.m_host = m_identity.m_name;
  status.m_zone = m_identity.m_zone;
  status.m_ready = IsReady();
  status.m_bundleVersion = m_bundle.m_version;
  status.m_listRevision = m_list.m_revision;
  for (const base::HostId host : m_membership.LivePeers()) {
    status.m_livePeers.push_back(m_membership.Find(host)->m_name);
  }
  for (const auto& [id, service] : m_services) {
    status.m_flows += service->FlowCount();
    status.m_requestsInProgress += service->Requests().InProgress();
    status.m_services.push_back(service->Status());
  }
  return status;
}

std::size_t
HostCore::FlowMemoryBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [id, service] : m_services) {
    bytes += service->FlowMemoryBytes();
  }
  return bytes;
}

base::Result<Explanation>
HostCore::Explain(const packet::FlowKey& aFlow) const
{
  ServiceRuntime* service = FindService(aFlow.m_service);
  if (service == nullptr) {
    return base::Fail(ResultCode::ValueNotFound,
                      "no service at " + ToString(aFlow.m_service.m_endpoint));
  }
  const std::uint64_t hash = packet::HashFlow(aFlow);
  const steering::FlowId flow = steering::FlowIdOf(hash);
  const std::uint8_t shard = steering::ShardOf(hash);
  const steering::SteerResult result =
    service->Shard(shard).Explain({ flow, false, kNoHost });
  Explanation explanation;
  explanation.m_service = service->Service().m_name;
  explanation.m_reason = steering::ToString(result.m_reason);
  explanation.m_steps = {
    "service " + explanation.m_service + " owns " +
      ToString(aFlow.m_service.m_endpoint),
    "flow hash selects shard " + std::to_string(shard) + ", row " +
      std::to_string(flow.m_row),
    "rule " + explanation.m_reason + " decides",
  };
  if (result.m_action == steering::SteerAction::Forward) {
    const auto& target = service->Directory().At(result.m_slot);
    explanation.m_target = target.m_name;
    explanation.m_targetAddress = ToString(target.m_endpoint);
  }
  if (result.m_action == steering::SteerAction::Relay) {
    const peer::PeerAddress* peer = m_membership.Find(result.m_relayTo);
    explanation.m_steps.push_back("relayed to host " +
                                  (peer == nullptr ? "?" : peer->m_name));
  }
  return explanation;
}

} // namespace wasabiloom::core
