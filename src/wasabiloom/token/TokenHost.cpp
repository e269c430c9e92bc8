#include "wasabiloom/token/TokenHost.h"

#include "wasabiloom/placing/ServiceChoice.h"

namespace wasabiloom::token {

namespace {

using packet::TokenPacket;
using registry::ServerRecord;

constexpr base::Duration kSweepInterval = std::chrono::seconds(1);

} // namespace

TokenHost::TokenHost(TokenHostIdentity aIdentity,
                     const registry::ReaderTiming& aTiming,
                     std::uint64_t aSeed,
                     const packet::TokenCodec& aCodec,
                     TokenEffects& aEffects,
                     const placing::SharedLoad* aSharedLoad)
  : m_identity(std::move(aIdentity))
  , m_codec(aCodec)
  , m_effects(aEffects)
  , m_log(m_totals, aEffects)
  , m_reader(aTiming, aSeed, m_cache, m_log)
  , m_sharedLoad(m_identity.m_zone)
  , m_servers(m_identity.m_zone,
              m_cache,
              m_flows,
              aSharedLoad == nullptr ? m_sharedLoad : *aSharedLoad,
              m_identity.m_load)
{
}

TokenHost::~TokenHost() = default;

void
TokenHost::OnPacket(std::span<const std::byte> aBytes, base::Instant aNow)
{
  const packet::ParsedTokenPacket parsed = m_codec.Parse(aBytes);
  if (parsed.m_code != base::ResultCode::Ok) {
    ++m_totals.m_malformed;
    ++m_totals.m_dropped;
    return;
  }
  NotePause(aNow);
  if (!IsReady() || (parsed.m_packet.m_opens && NeedsFreshState(aNow))) {
    Hold(aBytes, parsed.m_packet, aNow);
  } else if (parsed.m_packet.m_opens) {
    Open(aBytes, parsed.m_packet, aNow);
  } else {
    Continue(aBytes, parsed.m_packet, aNow);
  }
}

void
TokenHost::Hold(std::span<const std::byte> aBytes,
                const TokenPacket& aPacket,
                base::Instant aNow)
{
  Decision decision = Describe(aPacket, Reason::NotLearnedYet, aNow);
  if (m_held.size() >= kMaxHeld) {
    decision.m_reason = Reason::HoldFull;
    decision.m_action = Action::Drop;
    Record(decision, false);
    return;
  }
  decision.m_action = Action::Hold;
  m_held.push_back({ { aBytes.begin(), aBytes.end() }, aNow });
  Record(decision, aPacket.m_opens);
}

void
TokenHost::NotePause(base::Instant aNow)
{
  const bool isFirst = m_ranAt == base::Instant{};
  if (!isFirst && aNow - m_ranAt > kPauseLimit) {
    m_wokeAt = aNow;
    m_reader.ExpediteNextCall(aNow);
    m_effects.LogStateChange(
      "woke_from_pause",
      "gap_ms=" + std::to_string(base::Milliseconds(aNow - m_ranAt)));
  }
  m_ranAt = aNow;
}

bool
TokenHost::NeedsFreshState(base::Instant aNow) const
{
  return aNow - m_wokeAt < kMaxRefreshWait && m_reader.LearnedAt() < m_wokeAt;
}

void
TokenHost::ReleaseHeld(base::Instant aNow)
{
  if (IsReady() && !m_wasReady) {
    m_wasReady = true;
    m_servers.OnRegistryKnown(aNow);
  }
  if (!IsReady() || NeedsFreshState(aNow)) {
    return;
  }
  std::deque<Held> held;
  held.swap(m_held);
  for (const Held& packet : held) {
    if (aNow - packet.m_at <= kMaxHoldTime) {
      OnPacket(packet.m_bytes, aNow);
    }
  }
}

void
TokenHost::Open(std::span<const std::byte> aBytes,
                const TokenPacket& aPacket,
                base::Instant aNow)
{
  Decision decision = Describe(aPacket, Reason::NoRoute, aNow);
  const std::uint64_t hash = packet::HashFlow(aPacket.m_flow);
  const registry::Route* route =
    m_cache.FindRoute(aPacket.m_flow.m_service.m_endpoint);
  decision.m_service =
    route == nullptr ? "" : placing::ChooseService(*route, hash);
  if (route == nullptr || decision.m_service.empty()) {
    Reset(aPacket, decision);
    return;
  }
  const placing::FlowClass flowClass{ route->m_priority,
                                      route->m_isIdempotent };
  LoadControl& load = m_servers.GetLoadControl();
  // A copy may follow one that another host delivered, and the server may have
  // opened the flow.
  const bool isNew =
    aPacket.m_copy == 0 && m_flows.Find(aPacket.m_flow) == nullptr;
  if (isNew && !load.Admits(decision.m_service, flowClass, hash, aNow)) {
    decision.m_reason = Reason::NotAdmitted;
    Reset(aPacket, decision);
    return;
  }
  FlowRecord* record = m_flows.FindOrAdd(aPacket.m_flow, aNow);
  std::uint32_t avoid = 0;
  if (record != nullptr && record->m_token != 0) {
    const ServerRecord* before = m_cache.FindByToken(record->m_token);
    const bool usable = before != nullptr && m_servers.CanAcceptFlow(*before);
    const bool atOnce = aNow - record->m_lastSeenAt <= kMinRetransmitInterval;
    if (usable && (aPacket.m_copy == 0 || record->m_established || atOnce)) {
      decision.m_reason = Reason::SameAsBefore;
      decision.m_token = record->m_token;
      decision.m_server = before->m_server.m_id;
      if (!m_servers.AllowsOpening(*before, aNow)) {
        Drop(aPacket, decision, aNow);
        return;
      }
      m_servers.OnOpeningSent(*before, aNow);
      decision.m_action = Action::Deliver;
      Record(decision, true);
      Deliver(aBytes, *before);
      return;
    }
    avoid = record->m_token;
    if (before != nullptr) {
      m_servers.OnOpeningRetransmitted(*before, aNow);
    }
  }
  const auto placement =
    m_servers.ChooseServer(decision.m_service,
                           avoid,
                           hash,
                           aNow,
                           load.UrgencyOf(decision.m_service, flowClass));
  if (!placement) {
    decision.m_reason = Reason::NoServer;
    m_flows.Erase(aPacket.m_flow);
    Reset(aPacket, decision);
    return;
  }
  const ServerRecord& server = *m_cache.FindByToken(placement->m_token);
  m_servers.OnPlaced(server, aNow);
  if (record != nullptr) {
    record->m_lastSeenAt = aNow;
    record->m_sawOpening = true;
    m_flows.Assign(*record, server.m_token);
    m_flows.SetAwaits(*record, Awaits::Handshake, aNow);
  }
  decision.m_reason =
    avoid == 0 ? ReasonOf(placement->m_reason) : Reason::PlacedAgain;
  decision.m_token = server.m_token;
  decision.m_server = server.m_server.m_id;
  decision.m_action = Action::Deliver;
  Record(decision, true);
  Deliver(aBytes, server);
}

void
TokenHost::Continue(std::span<const std::byte> aBytes,
                    const TokenPacket& aPacket,
                    base::Instant aNow)
{
  const ServerRecord* server = m_cache.FindByToken(aPacket.m_token);
  if (server == nullptr) {
    OnUnknownToken(aPacket, aNow);
    return;
  }
  Decision decision = Describe(aPacket, Reason::TokenKnown, aNow);
  decision.m_server = server->m_server.m_id;
  decision.m_service = server->m_server.m_service;
  if (m_cache.FindRoute(aPacket.m_flow.m_service.m_endpoint) == nullptr) {
    decision.m_reason = Reason::RouteDropped;
    Reset(aPacket, decision);
    return;
  }
  FlowRecord* record = m_flows.FindOrAdd(aPacket.m_flow, aNow);
  if (record != nullptr) {
    record->m_established &= record->m_token == server->m_token;
    m_flows.Assign(*record, server->m_token);
    m_servers.OnFlowPacket(aPacket, *server, *record, aNow);
  }
  const auto zoneOut = m_cache.ZoneOutSince(server->m_server.m_zone);
  if (zoneOut && aNow - *zoneOut > m_identity.m_zoneOutGrace) {
    decision.m_reason = Reason::ZoneOut;
    Drop(aPacket, decision, aNow);
    return;
  }
  if (!m_reader.IsFailing() && m_servers.IsConfirmedGone(*server, aNow)) {
    decision.m_reason = Reason::ServerGone;
    Reset(aPacket, decision);
    return;
  }
  decision.m_action = Action::Deliver;
  Record(decision, false);
  Deliver(aBytes, *server);
  if (aPacket.m_closes) {
    m_flows.Erase(aPacket.m_flow);
  }
}

void
TokenHost::OnUnknownToken(const TokenPacket& aPacket, base::Instant aNow)
{
  if (aNow - m_reader.LearnedAt() > kUnknownTokenMaxAge) {
    m_reader.ExpediteNextCall(aNow);
  }
  Decision decision = Describe(aPacket, Reason::TokenUnknown, aNow);
  const FlowRecord* record = m_flows.FindOrAdd(aPacket.m_flow, aNow);
  const bool waited =
    record != nullptr && aNow - record->m_firstSeenAt > kUnknownTokenGrace;
  const bool isCurrent = !m_reader.IsFailing() && record != nullptr &&
                         m_reader.LearnedAt() > record->m_firstSeenAt;
  if (waited && isCurrent) {
    Reset(aPacket, decision);
    return;
  }
  Drop(aPacket, decision, aNow);
}

void
TokenHost::Deliver(std::span<const std::byte> aBytes,
                   const ServerRecord& aServer)
{
  std::array<std::byte, packet::kMaxTokenDatagram> out;
  const std::size_t length = m_codec.WriteDelivery(
    aBytes, { aServer.m_server.m_numericId, aServer.m_token }, out);
  m_effects.Send(aServer.m_server.m_address, std::span(out).first(length));
}

void
TokenHost::Reset(const TokenPacket& aPacket, Decision aDecision)
{
  aDecision.m_action = Action::Reset;
  Record(aDecision, true);
  m_flows.Erase(aPacket.m_flow);
  // A reset is never answered with a reset.
  if (aPacket.m_resets) {
    return;
  }
  std::array<std::byte, packet::kMaxTokenDatagram> out;
  const std::size_t length = m_codec.WriteReset(aPacket, out);
  const base::Endpoint back{ aPacket.m_flow.m_caller.m_address,
                             m_identity.m_returnPort };
  m_effects.Send(back, std::span(out).first(length));
}

void
TokenHost::Drop(const TokenPacket& aPacket,
                Decision aDecision,
                base::Instant aNow)
{
  aDecision.m_action = Action::Drop;
  FlowRecord* record = m_flows.FindOrAdd(aPacket.m_flow, aNow);
  const bool isFirst = record != nullptr && !record->m_dropLogged;
  if (record != nullptr) {
    record->m_dropLogged = true;
    record->m_lastSeenAt = aNow;
  }
  Record(aDecision, isFirst);
}

Decision
TokenHost::Describe(const TokenPacket& aPacket,
                    Reason aReason,
                    base::Instant aNow) const
{
  Decision decision;
  decision.m_flow = aPacket.m_flow;
  decision.m_reason = aReason;
  decision.m_token = aPacket.m_token;
  decision.m_copy = aPacket.m_copy;
  decision.m_version = m_cache.CurrentGlobal().m_version;
  decision.m_revision = m_reader.Revision().m_number;
  const bool hasLearned = m_reader.LearnedAt() != base::Instant{};
  decision.m_age =
    hasLearned ? aNow - m_reader.LearnedAt() : base::Duration::zero();
  return decision;
}

void
TokenHost::Record(const Decision& aDecision, bool aLog)
{
  ++m_totals.m_byReason.at(static_cast<std::size_t>(aDecision.m_reason));
  switch (aDecision.m_action) {
    case Action::Deliver:
      ++m_totals.m_delivered;
      break;
    case Action::Reset:
      ++m_totals.m_resets;
      break;
    case Action::Hold:
      ++m_totals.m_held;
      break;
    case Action::Drop:
      ++m_totals.m_dropped;
      break;
  }
  if (aLog) {
    m_effects.LogDecision(aDecision);
  }
}

registry::ReaderCall
TokenHost::NextCall(base::Instant aNow)
{
  registry::ReaderCall call = m_reader.Next(aNow);
  m_totals.m_calls += call.m_kind == registry::ReaderCall::Kind::None ? 0 : 1;
  return call;
}

void
TokenHost::OnListAnswer(const registry::ListResult& aAnswer, base::Instant aNow)
{
  if (const auto* page = std::get_if<registry::Page>(&aAnswer)) {
    m_reader.OnPage(*page, aNow);
  } else {
    m_reader.OnFailure(std::get<registry::CallFailure>(aAnswer), aNow);
  }
  ReleaseHeld(aNow);
}

void
TokenHost::OnWatchAnswer(const registry::WatchResult& aAnswer,
                         base::Instant aNow)
{
  if (const auto* changes = std::get_if<registry::Changes>(&aAnswer)) {
    m_reader.OnChanges(*changes, aNow);
  } else {
    m_reader.OnFailure(std::get<registry::CallFailure>(aAnswer), aNow);
  }
  ReleaseHeld(aNow);
}

registry::UpdateOutcome
TokenHost::OnPeerUpdate(const registry::RegistryUpdate& aUpdate,
                        base::Instant aNow)
{
  const registry::RegistryRevision before = m_reader.Revision();
  const registry::UpdateOutcome outcome = m_reader.OnPeerUpdate(aUpdate, aNow);
  if (m_reader.Revision() > before) {
    m_effects.LogStateChange(
      "learned_from_peer",
      "revision=" + ToString(aUpdate.m_toRevision) +
        " before=" + ToString(before) +
        " age_ms=" + std::to_string(base::Milliseconds(aUpdate.m_age)) +
        m_log.TakeSummary());
  }
  ReleaseHeld(aNow);
  return outcome;
}

std::optional<registry::RegistryUpdate>
TokenHost::UpdateSince(const registry::RegistryRevision& aRevision,
                       base::Instant aNow) const
{
  return m_reader.UpdateSince(aRevision, aNow);
}

void
TokenHost::SetMaxUpdateAge(base::Duration aMaxUpdateAge, bool aStandsBy)
{
  m_reader.SetMaxUpdateAge(aMaxUpdateAge, aStandsBy);
}

void
TokenHost::HoldListing(base::Instant aUntil)
{
  m_reader.DelayFirstListing(aUntil);
}

void
TokenHost::OnTick(base::Instant aNow)
{
  NotePause(aNow);
  const std::size_t dropped = m_cache.Tick(aNow);
  if (dropped > 0) {
    m_effects.LogStateChange(
      "kept_facts_dropped",
      "epoch=" + std::to_string(m_cache.Epoch().Epoch()) +
        " count=" + std::to_string(dropped));
  }
  ReleaseHeld(aNow);
  LogRamps();
  UpdateSharedLoad(aNow);
  m_servers.UpdateLoad(m_effects, aNow);
  if (aNow - m_sweptAt > kSweepInterval) {
    m_sweptAt = aNow;
    m_flows.Sweep(kFlowIdleTimeout, aNow);
    m_servers.Sweep(aNow);
  }
}

void
TokenHost::LogRamps()
{
  for (const placing::RampEvent& event :
       m_servers.GetSlowStart().TakeEvents()) {
    const ServerRecord* server = m_cache.FindByToken(event.m_token);
    m_effects.LogStateChange(
      ToString(event.m_stage),
      "server=" + (server == nullptr ? "" : server->m_server.m_id) +
        " token=" + std::to_string(event.m_token) +
        " cause=" + std::string(ToString(event.m_cause)) +
        " failures=" + std::to_string(event.m_failures) +
        " share=" + std::to_string(event.m_share) +
        " after_ms=" + std::to_string(base::Milliseconds(event.m_after)));
  }
}

placing::HostLoad
TokenHost::TakeLoad(base::Instant aNow)
{
  m_reportsLoad = true;
  return m_servers.GetObserver().Take(aNow);
}

void
TokenHost::SetLiveHosts(placing::LiveHosts aLiveHosts)
{
  m_sharedLoad.SetLiveHosts(std::move(aLiveHosts));
}

bool
TokenHost::MergeLoad(const placing::Reporter& aFrom,
                     const placing::HostLoad& aLoad,
                     const placing::LearnedLoad& aLearned,
                     base::Instant aNow)
{
  return m_sharedLoad.Merge(aFrom, aLoad, aLearned, aNow);
}

placing::LearnedLoad
TokenHost::NewestLoad(std::size_t aZones, base::Instant aNow) const
{
  return m_sharedLoad.Newest(aZones, aNow);
}

void
TokenHost::UpdateSharedLoad(base::Instant aNow)
{
  if (!m_reportsLoad) {
    return;
  }
  if (aNow - m_slotsAt > kSlotsInterval) {
    m_slotsAt = aNow;
    m_sharedLoad.SetSlots(m_servers.GetObserver().UsableSlots(aNow));
  }
  m_sharedLoad.Tick(aNow);
  const std::size_t reporters = m_sharedLoad.ReporterCount();
  const bool isKnown = reporters >= placing::kMinReporters;
  if (isKnown != m_knowsLoad) {
    m_knowsLoad = isKnown;
    m_effects.LogStateChange(isKnown ? "load_reports_current"
                                     : "load_reports_missing",
                             "reporters=" + std::to_string(reporters));
  }
}

bool
TokenHost::DependsOnOtherZones(base::Instant aNow) const
{
  return !m_servers.HasLocalServer(aNow);
}

void
TokenHost::UpdateServing(base::Duration aOtherZonesSilentFor,
                         base::Instant aNow)
{
  ServingEvidence evidence;
  evidence.m_hasLocalServer = !DependsOnOtherZones(aNow);
  evidence.m_otherZonesSilentFor = aOtherZonesSilentFor;
  evidence.m_otherZoneRespondedAt = m_servers.OtherZoneRespondedAt();
  evidence.m_registryCurrentAt = m_reader.LearnedAt();
  const bool couldServe = m_serving.CanServe();
  const bool canServe = m_serving.Update(evidence, aNow);
  if (canServe == couldServe) {
    return;
  }
  const bool isZoneOut = m_cache.ZoneOutSince(m_identity.m_zone).has_value();
  m_effects.LogStateChange(
    canServe ? "can_serve" : "cannot_serve",
    "local_server=" + std::to_string(evidence.m_hasLocalServer ? 1 : 0) +
      " zone_out=" + std::to_string(isZoneOut ? 1 : 0) +
      " other_zones_silent_ms=" +
      std::to_string(base::Milliseconds(aOtherZonesSilentFor)));
}

bool
TokenHost::IsRegistryUnreachable(base::Duration aSpan, base::Instant aNow) const
{
  return m_reader.IsFailing() && aNow - m_reader.AnsweredAt() > aSpan;
}

void
TokenHost::SetZoneOutGrace(base::Duration aGrace)
{
  m_identity.m_zoneOutGrace = aGrace;
}

} // namespace wasabiloom::token
