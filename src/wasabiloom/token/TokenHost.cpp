#include "wasabiloom/token/TokenHost.h"

#include "wasabiloom/base/Hash.h"

#include <numeric>

namespace wasabiloom::token {

namespace {

using packet::TokenPacket;
using registry::Presence;
using registry::ServerBelief;
using registry::ServerState;

constexpr base::Duration kSweepInterval = std::chrono::seconds(1);

Reason
ReasonOf(placing::PlaceReason aReason)
{
  switch (aReason) {
    case placing::PlaceReason::LeastLoad:
      return Reason::PlacedLeastLoad;
    case placing::PlaceReason::OnlyCold:
      return Reason::PlacedOnlyCold;
    case placing::PlaceReason::OnlySuspect:
      return Reason::PlacedOnlySuspect;
  }
  return Reason::PlacedLeastLoad;
}

/// What names a zone to Suspicion.
std::uint32_t
ZoneKey(const std::string& aZone)
{
  return static_cast<std::uint32_t>(base::HashText(aZone));
}

/// Whether `aLater` comes after `aEarlier` among numbers that wrap around.
bool
IsAfter(std::uint32_t aLater, std::uint32_t aEarlier)
{
  return static_cast<std::int32_t>(aLater - aEarlier) > 0;
}

std::string
DescribeFact(const registry::Fact& aFact)
{
  std::string text = "kind=" + std::string(ToString(aFact.m_kind)) +
                     " name=" + (aFact.m_name.empty() ? "-" : aFact.m_name) +
                     " revision=" + std::to_string(aFact.m_revision);
  if (const auto* server = std::get_if<registry::Server>(&aFact.m_content)) {
    text += " service=" + server->m_service +
            " address=" + ToString(server->m_address) +
            " zone=" + server->m_zone + " state=" +
            (server->m_state == ServerState::Draining ? "draining" : "ready") +
            " born=" + std::to_string(server->m_born) + " token=" +
            std::to_string(registry::MakeToken(server->m_id, server->m_born));
  } else if (const auto* configuration =
               std::get_if<registry::Configuration>(&aFact.m_content)) {
    text += " version=" + std::to_string(configuration->m_version) +
            " routes=" + std::to_string(configuration->m_routes.size());
  } else if (const auto* unusable =
               std::get_if<registry::Unusable>(&aFact.m_content)) {
    text += " why=\"" + unusable->m_reason + "\"";
  } else if (std::holds_alternative<registry::Removed>(aFact.m_content)) {
    text += " removed=1";
  }
  return text;
}

} // namespace

TokenEffects::~TokenEffects() = default;

TokenHost::TokenHost(TokenHostIdentity aIdentity,
                     const registry::ReaderTiming& aTiming,
                     std::uint64_t aSeed,
                     const packet::TokenCodec& aCodec,
                     TokenEffects& aEffects)
  : m_identity(std::move(aIdentity))
  , m_codec(aCodec)
  , m_effects(aEffects)
  , m_reader(aTiming, aSeed, m_beliefs, *this)
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
  if (!IsReady() || (parsed.m_packet.m_opens && DoubtsItself(aNow))) {
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
    m_reader.Hurry(aNow);
    const auto gap =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow - m_ranAt);
    m_effects.LogBelief("woke_from_pause",
                        "gap_ms=" + std::to_string(gap.count()));
  }
  m_ranAt = aNow;
}

bool
TokenHost::DoubtsItself(base::Instant aNow) const
{
  return aNow - m_wokeAt < kWakeDoubt && m_reader.LearnedAt() < m_wokeAt;
}

void
TokenHost::ReleaseHeld(base::Instant aNow)
{
  if (!IsReady() || DoubtsItself(aNow)) {
    return;
  }
  std::deque<Held> held;
  held.swap(m_held);
  for (const Held& packet : held) {
    if (aNow - packet.m_at <= kHoldTime) {
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
    m_beliefs.FindRoute(aPacket.m_flow.m_service.m_endpoint);
  decision.m_service = route == nullptr ? "" : ChooseService(*route, hash);
  if (decision.m_service.empty()) {
    Reset(aPacket, decision);
    return;
  }
  FlowRecord* record = m_flows.FindOrAdd(aPacket.m_flow, aNow);
  std::uint32_t avoid = 0;
  if (record != nullptr && record->m_token != 0) {
    const ServerBelief* before = m_beliefs.FindToken(record->m_token);
    const bool usable = before != nullptr && MayTakeFlow(*before);
    if (usable && (aPacket.m_copy == 0 || record->m_answered)) {
      decision.m_reason = Reason::SameAsBefore;
      decision.m_token = record->m_token;
      decision.m_server = before->m_server.m_id;
      decision.m_action = Action::Deliver;
      Record(decision, true);
      Deliver(aBytes, *before);
      return;
    }
    avoid = record->m_token;
    m_suspicion.OnUnanswered(avoid, aNow);
    if (before != nullptr) {
      DoubtZone(*before, aNow);
    }
  }
  const auto placement =
    placing::Place(CandidatesOf(decision.m_service, aNow), avoid, hash);
  if (!placement) {
    decision.m_reason = Reason::NoServer;
    m_flows.Erase(aPacket.m_flow);
    Reset(aPacket, decision);
    return;
  }
  const ServerBelief& server = *m_beliefs.FindToken(placement->m_token);
  if (record != nullptr) {
    record->m_seenAt = aNow;
    record->m_opened = true;
    m_flows.Assign(*record, server.m_token);
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
  const ServerBelief* server = m_beliefs.FindToken(aPacket.m_token);
  if (server == nullptr) {
    OnUnknownToken(aPacket, aNow);
    return;
  }
  Decision decision = Describe(aPacket, Reason::TokenKnown, aNow);
  decision.m_server = server->m_server.m_id;
  decision.m_service = server->m_server.m_service;
  if (m_beliefs.FindRoute(aPacket.m_flow.m_service.m_endpoint) == nullptr) {
    decision.m_reason = Reason::RouteDropped;
    Reset(aPacket, decision);
    return;
  }
  FlowRecord* record = m_flows.FindOrAdd(aPacket.m_flow, aNow);
  if (record != nullptr) {
    record->m_answered &= record->m_token == server->m_token;
    m_flows.Assign(*record, server->m_token);
    NoteProgress(aPacket, *server, *record, aNow);
  }
  const auto zoneOut = m_beliefs.ZoneOutSince(server->m_server.m_zone);
  if (zoneOut && aNow - *zoneOut > m_identity.m_zoneOutGrace) {
    decision.m_reason = Reason::ZoneOut;
    Drop(aPacket, decision, aNow);
    return;
  }
  if (IsCertainlyGone(*server, aNow)) {
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
TokenHost::NoteProgress(const TokenPacket& aPacket,
                        const ServerBelief& aServer,
                        FlowRecord& aRecord,
                        base::Instant aNow)
{
  const bool isFirst = !aRecord.m_answered;
  // The first packet of a flow that opened elsewhere may be a repetition: it
  // speaks neither for the server nor against it.
  const bool heard =
    isFirst ? aRecord.m_opened
            : IsAfter(aPacket.m_acknowledged, aRecord.m_acknowledged);
  const bool repeats = !isFirst && aPacket.m_payloadBytes > 0 && !heard &&
                       !IsAfter(aPacket.m_sequence, aRecord.m_sequence);
  if (heard || isFirst) {
    aRecord.m_acknowledged = aPacket.m_acknowledged;
  }
  if (heard) {
    m_suspicion.OnAlive(aPacket.m_token, aNow);
    m_zoneSuspicion.OnAlive(ZoneKey(aServer.m_server.m_zone), aNow);
  } else if (repeats) {
    m_suspicion.OnStall(aPacket.m_token, aNow);
    DoubtZone(aServer, aNow);
  }
  if (heard && aRecord.m_busy) {
    m_latencies.Observe(aPacket.m_token, aNow - aRecord.m_requestAt, aNow);
    m_flows.SetBusy(aRecord, false, aNow);
  }
  if (isFirst || IsAfter(aPacket.m_sequence, aRecord.m_sequence)) {
    aRecord.m_sequence = aPacket.m_sequence;
    m_flows.SetBusy(
      aRecord, aPacket.m_payloadBytes > 0 && !aPacket.m_closes, aNow);
  }
  aRecord.m_answered = true;
  aRecord.m_seenAt = aNow;
}

void
TokenHost::OnUnknownToken(const TokenPacket& aPacket, base::Instant aNow)
{
  m_reader.Hurry(aNow);
  Decision decision = Describe(aPacket, Reason::TokenUnknown, aNow);
  const FlowRecord* record = m_flows.FindOrAdd(aPacket.m_flow, aNow);
  const bool waited =
    record != nullptr && aNow - record->m_firstSeenAt > kUnknownTokenGrace;
  const bool isCurrent = !m_reader.IsFailing() && record != nullptr &&
                         m_reader.AnsweredAt() > record->m_firstSeenAt;
  if (waited && isCurrent) {
    Reset(aPacket, decision);
    return;
  }
  Drop(aPacket, decision, aNow);
}

std::vector<placing::Candidate>
TokenHost::CandidatesOf(std::string_view aService, base::Instant aNow) const
{
  std::vector<placing::Candidate> candidates;
  for (const ServerBelief* server : m_beliefs.ServersOf(aService)) {
    if (!MayTakeFlow(*server)) {
      continue;
    }
    placing::Candidate candidate;
    candidate.m_token = server->m_token;
    const ServerFlows count = m_flows.CountAt(server->m_token);
    candidate.m_open = count.m_open;
    candidate.m_busy = count.m_busy;
    candidate.m_latency = m_latencies.At(server->m_token, aNow);
    candidate.m_slots = server->m_server.m_slots;
    candidate.m_sameZone = server->m_server.m_zone == m_identity.m_zone;
    candidate.m_cold = aNow < server->m_coldUntil;
    candidate.m_suspect = IsSuspect(*server, aNow);
    candidates.push_back(candidate);
  }
  return candidates;
}

void
TokenHost::DoubtZone(const ServerBelief& aServer, base::Instant aNow)
{
  m_zoneSuspicion.OnStall(ZoneKey(aServer.m_server.m_zone), aNow);
}

bool
TokenHost::IsSuspect(const ServerBelief& aServer, base::Instant aNow) const
{
  const std::string& zone = aServer.m_server.m_zone;
  const bool inDoubtfulZone =
    zone != m_identity.m_zone && m_zoneSuspicion.IsSuspect(ZoneKey(zone), aNow);
  return inDoubtfulZone || aServer.m_presence == Presence::Lapsed ||
         m_suspicion.IsSuspect(aServer.m_token, aNow);
}

bool
TokenHost::MayTakeFlow(const ServerBelief& aServer) const
{
  const bool isThere = aServer.m_presence == Presence::Listed ||
                       aServer.m_presence == Presence::Lapsed;
  return isThere && !aServer.m_clashes &&
         aServer.m_server.m_state == ServerState::Ready &&
         !m_beliefs.ZoneOutSince(aServer.m_server.m_zone);
}

bool
TokenHost::IsCertainlyGone(const ServerBelief& aServer,
                           base::Instant aNow) const
{
  const bool isGone = aServer.m_presence == Presence::Gone &&
                      aNow - aServer.m_since > kGoneGrace;
  const bool isMissed = aServer.m_presence == Presence::Lapsed &&
                        m_suspicion.IsSuspect(aServer.m_token, aNow);
  const bool isSilent =
    aNow - m_suspicion.AliveAt(aServer.m_token) > kSilentForCertainty;
  return (isGone || isMissed) && isSilent && !m_reader.IsFailing();
}

void
TokenHost::Deliver(std::span<const std::byte> aBytes,
                   const ServerBelief& aServer)
{
  std::array<std::byte, packet::kMaxTokenDatagram> out;
  const std::size_t length = m_codec.WriteDelivery(
    aBytes, { aServer.m_server.m_number, aServer.m_token }, out);
  m_effects.Send(aServer.m_server.m_address, std::span(out).first(length));
}

void
TokenHost::Reset(const TokenPacket& aPacket, Decision aDecision)
{
  aDecision.m_action = Action::Reset;
  Record(aDecision, true);
  m_flows.Erase(aPacket.m_flow);
  // A reset is never answered by another one.
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
  const bool isFirst = record != nullptr && !record->m_reported;
  if (record != nullptr) {
    record->m_reported = true;
    record->m_seenAt = aNow;
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
  decision.m_version = m_beliefs.InForce().m_version;
  decision.m_revision = m_reader.Revision();
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
TokenHost::OnListAnswer(const registry::ListAnswer& aAnswer, base::Instant aNow)
{
  if (const auto* page = std::get_if<registry::Page>(&aAnswer)) {
    m_reader.OnPage(*page, aNow);
  } else {
    m_reader.OnFailure(std::get<registry::CallFailure>(aAnswer), aNow);
  }
  ReleaseHeld(aNow);
}

void
TokenHost::OnWatchAnswer(const registry::WatchAnswer& aAnswer,
                         base::Instant aNow)
{
  if (const auto* changes = std::get_if<registry::Changes>(&aAnswer)) {
    m_reader.OnChanges(*changes, aNow);
  } else {
    m_reader.OnFailure(std::get<registry::CallFailure>(aAnswer), aNow);
  }
  ReleaseHeld(aNow);
}

bool
TokenHost::OnPeerFacts(const registry::Page& aFacts, base::Instant aNow)
{
  const std::uint64_t before = m_reader.Revision();
  if (!m_reader.OnPeerFacts(aFacts, aNow)) {
    return false;
  }
  m_effects.LogBelief("learned_from_peer",
                      "revision=" + std::to_string(aFacts.m_revision) +
                        " before=" + std::to_string(before));
  ReleaseHeld(aNow);
  return true;
}

registry::Page
TokenHost::FactsForPeer() const
{
  registry::Page page;
  if (IsReady()) {
    page.m_facts = m_beliefs.ToFacts();
    page.m_revision = m_reader.Revision();
  }
  return page;
}

void
TokenHost::OnTick(base::Instant aNow)
{
  NotePause(aNow);
  m_beliefs.Tick(aNow);
  ReleaseHeld(aNow);
  if (aNow - m_sweptAt > kSweepInterval) {
    m_sweptAt = aNow;
    m_flows.Sweep(kLoadIdle, aNow);
    m_latencies.Sweep(aNow);
  }
}

bool
TokenHost::IsCutOff(base::Duration aSpan, base::Instant aNow) const
{
  return m_reader.IsFailing() && aNow - m_reader.AnsweredAt() > aSpan;
}

void
TokenHost::SetZoneOutGrace(base::Duration aGrace)
{
  m_identity.m_zoneOutGrace = aGrace;
}

void
TokenHost::OnFact(const registry::Fact& aFact, registry::Outcome aOutcome)
{
  if (aOutcome == registry::Outcome::Unchanged) {
    return;
  }
  m_totals.m_factsAdopted += aOutcome == registry::Outcome::Adopted ? 1 : 0;
  m_totals.m_factsSetAside += aOutcome == registry::Outcome::SetAside ? 1 : 0;
  m_effects.LogBelief("fact_" + std::string(ToString(aOutcome)),
                      DescribeFact(aFact));
}

void
TokenHost::OnCallFailed(const registry::CallFailure& aFailure,
                        std::uint32_t aFailures,
                        base::Duration aPause)
{
  ++m_totals.m_callsFailed;
  const auto pause =
    std::chrono::duration_cast<std::chrono::milliseconds>(aPause);
  m_effects.LogBelief(
    "registry_call_failed",
    "code=" + std::to_string(static_cast<int>(aFailure.m_code)) + " failures=" +
      std::to_string(aFailures) + " pause_ms=" + std::to_string(pause.count()) +
      " detail=\"" + aFailure.m_detail + "\"");
}

void
TokenHost::OnReachable(std::uint64_t aRevision)
{
  m_effects.LogBelief("registry_reachable",
                      "revision=" + std::to_string(aRevision));
}

void
TokenHost::OnListed(std::uint64_t aRevision, std::size_t aFacts)
{
  m_effects.LogBelief("registry_listed",
                      "revision=" + std::to_string(aRevision) +
                        " facts=" + std::to_string(aFacts));
}

std::string_view
ChooseService(const registry::Route& aRoute, std::uint64_t aHash)
{
  const auto total = std::accumulate(
    aRoute.m_shares.begin(),
    aRoute.m_shares.end(),
    std::uint64_t{ 0 },
    [](std::uint64_t aSum, const registry::ServiceShare& aShare) {
      return aSum + aShare.m_weight;
    });
  if (total == 0) {
    return {};
  }
  std::uint64_t point = base::Mix(aHash) % total;
  for (const registry::ServiceShare& share : aRoute.m_shares) {
    if (point < share.m_weight) {
      return share.m_service;
    }
    point -= share.m_weight;
  }
  return {};
}

} // namespace wasabiloom::token
