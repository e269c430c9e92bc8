#include "wasabiloom/core/PacketRouter.h"

#include "wasabiloom/wire/EnvelopeCodec.h"

namespace wasabiloom::core {

namespace {

using base::ResultCode;
using peer::HostPhase;

constexpr base::HostId kNoHost{};

std::uint64_t
RequestHash(const packet::FlowKey& aFlow, const std::string& aId)
{
  return base::HashText(aId, base::Pack(aFlow.m_caller));
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

PacketRouter::PacketRouter(const ServiceCatalog& aCatalog,
                           const peer::Membership& aMembership,
                           Counters& aCounters,
                           Effects& aEffects)
  : m_catalog(aCatalog)
  , m_membership(aMembership)
  , m_counters(aCounters)
  , m_effects(aEffects)
{
}

void
PacketRouter::Prefetch(std::span<const std::byte> aPacket) const
{
  const packet::ParsedPacket parsed = packet::ParsePacket(aPacket);
  if (parsed.m_code != ResultCode::Ok) {
    return;
  }
  const packet::FlowKey& flow = parsed.m_view.m_flow;
  ServiceRuntime* service = m_catalog.Find(flow.m_service);
  if (service != nullptr) {
    const std::uint64_t hash = packet::HashFlow(flow);
    service->Shard(steering::ShardOf(hash)).Prefetch(steering::FlowIdOf(hash));
  }
}

PacketDecision
PacketRouter::Route(std::span<const std::byte> aPacket,
                    base::HostId aRelayedFrom,
                    base::Instant aNow)
{
  const packet::ParsedPacket parsed = packet::ParsePacket(aPacket);
  if (parsed.m_code != ResultCode::Ok) {
    return Refuse(parsed.m_code);
  }
  const packet::PacketView& view = parsed.m_view;
  if (m_membership.Phase() == HostPhase::Joining && aRelayedFrom == kNoHost) {
    return RelayTo(m_membership.OwnerOf(packet::HashFlow(view.m_flow), 0));
  }
  ServiceRuntime* service = m_catalog.Find(view.m_flow.m_service);
  if (service == nullptr) {
    return Refuse(ResultCode::PacketForeignService);
  }
  if (service->Service().m_mode == bundle::ServiceMode::Requests) {
    return RouteRequest(*service, view, aRelayedFrom, aNow);
  }
  return RouteConnection(*service, view, aRelayedFrom, aNow);
}

PacketDecision
PacketRouter::RouteConnection(ServiceRuntime& aService,
                              const packet::PacketView& aView,
                              base::HostId aRelayedFrom,
                              base::Instant aNow)
{
  const std::uint64_t hash = packet::HashFlow(aView.m_flow);
  const bool mayOpen =
    aView.m_opens || aView.m_flow.m_service.m_protocol == packet::Protocol::Udp;
  const steering::PacketToSteer arrival{ steering::FlowIdOf(hash),
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
  const steering::TargetInfo& target =
    aService.Directory().At(result.m_targetIndex);
  ++m_counters.m_forwarded;
  if (result.m_isNew) {
    LogPlacement(
      aService, aView, result, target.m_name, aRelayedFrom != kNoHost);
  }
  return { PacketAction::Forward, target.m_endpoint, ResultCode::Ok };
}

void
PacketRouter::LogPlacement(const ServiceRuntime& aService,
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

request::RequestOwnership
PacketRouter::SituationOf(base::HostId aHome,
                          base::HostId aPrevious,
                          base::HostId aRelayedFrom) const
{
  const base::HostId self = m_membership.Self();
  const HostPhase phase = m_membership.Phase();
  request::RequestOwnership situation;
  situation.m_isOwner = aHome == self;
  situation.m_wasOwner =
    aPrevious == self && aHome != self && phase == HostPhase::Ready;
  situation.m_isLeaving = phase == HostPhase::Leaving;
  situation.m_isRelayed =
    aRelayedFrom != kNoHost && !m_membership.IsJoining(aRelayedFrom);
  situation.m_hasPreviousOwner =
    aPrevious != self && m_membership.IsLive(aPrevious);
  situation.m_isFromPreviousOwner = aRelayedFrom == aPrevious;
  return situation;
}

PacketDecision
PacketRouter::RouteRequest(ServiceRuntime& aService,
                           const packet::PacketView& aView,
                           base::HostId aRelayedFrom,
                           base::Instant aNow)
{
  ++m_counters.m_requestPackets;
  return base::Handle(
    [&]() -> base::Result<PacketDecision> {
      BOOST_LEAF_AUTO(envelope, wire::DecodeEnvelope(aView.m_payload));
      const bool fromCaller =
        envelope.m_kind == request::EnvelopeKind::Request ||
        envelope.m_kind == request::EnvelopeKind::Cancel;
      if (!fromCaller) {
        return Refuse(ResultCode::EnvelopeMalformed);
      }
      const auto hash = RequestHash(aView.m_flow, envelope.m_id);
      const base::HostId home = m_membership.OwnerOf(hash, 0);
      const base::HostId previous = m_membership.PreviousOwnerOf(hash, aNow);
      request::RequestOwnership situation =
        SituationOf(home, previous, aRelayedFrom);
      situation.m_isRepeatable = envelope.m_repeatable;
      situation.m_hasRecord =
        aService.Requests().HasRecord(aView.m_flow, envelope.m_id);
      switch (request::DecideRequestAction(situation)) {
        case request::RequestAction::RelayToOwner:
          return RelayTo(home);
        case request::RequestAction::RelayToPreviousOwner:
          return RelayTo(previous);
        case request::RequestAction::Serve:
          break;
      }
      aService.Requests().OnCallerDatagram(aView.m_flow, envelope, aNow);
      return PacketDecision{ PacketAction::Consumed, {}, ResultCode::Ok };
    },
    [&](const base::Problem& aProblem) { return Refuse(aProblem.m_code); });
}

PacketDecision
PacketRouter::Refuse(ResultCode aCode)
{
  m_counters.Refuse(aCode);
  return { PacketAction::Drop, {}, aCode };
}

PacketDecision
PacketRouter::RelayTo(base::HostId aHost)
{
  const peer::PeerAddress* peer = m_membership.Find(aHost);
  if (peer == nullptr) {
    return Refuse(ResultCode::NotReady);
  }
  ++m_counters.m_relayed;
  return { PacketAction::Relay, peer->m_relay, ResultCode::Ok };
}

} // namespace wasabiloom::core
