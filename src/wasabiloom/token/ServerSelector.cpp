#include "wasabiloom/token/ServerSelector.h"

#include "wasabiloom/base/Hash.h"

#include <algorithm>

namespace wasabiloom::token {

namespace {

using packet::TokenPacket;
using registry::Presence;
using registry::ServerRecord;

/// The service time is at least a response time divided by this, whatever the
/// handshakes took: a server that is slow to open flows is not fast.
constexpr int kMaxWayParts = 4;

/// Key of a zone in PassiveHealthCheck, which tracks servers by token.
std::uint32_t
ZoneKey(std::string_view aZone)
{
  return static_cast<std::uint32_t>(base::HashText(aZone));
}

/// Whether `aLater` follows `aEarlier` in sequence numbers that wrap around.
bool
IsAfter(std::uint32_t aLater, std::uint32_t aEarlier)
{
  return static_cast<std::int32_t>(aLater - aEarlier) > 0;
}

/// Whether a sample need not be followed by another: the server is warm, not
/// suspect, and not the one to avoid.
bool
IsGood(const std::optional<placing::Placement>& aPlacement,
       std::uint32_t aAvoid)
{
  return aPlacement &&
         aPlacement->m_reason == placing::PlaceReason::LeastLoad &&
         aPlacement->m_token != aAvoid;
}

} // namespace

ServerSelector::ServerSelector(std::string aOwnZone,
                               const registry::RegistryCache& aCache,
                               FlowTracker& aFlows,
                               const placing::SharedLoad& aSharedLoad,
                               const LoadFeatures& aFeatures)
  : m_ownZone(std::move(aOwnZone))
  , m_cache(aCache)
  , m_flows(aFlows)
  , m_sharedLoad(aSharedLoad)
  , m_usesSlowStart(aFeatures.m_slowStart)
  , m_observer(aCache, aFlows, m_serverHealth, m_latencies)
  , m_loadControl(aFeatures, m_ownZone, aCache, aSharedLoad)
{
}

void
ServerSelector::OnOpeningRetransmitted(const ServerRecord& aServer,
                                       base::Instant aNow)
{
  m_serverHealth.OnOpeningRetransmitted(aServer.m_token, aNow);
  NoteSuspicion(aServer, aNow);
  RecordZoneFailure(aServer, aNow);
}

void
ServerSelector::OnFlowPacket(const TokenPacket& aPacket,
                             const ServerRecord& aServer,
                             FlowRecord& aRecord,
                             base::Instant aNow)
{
  const bool isFirst = !aRecord.m_established;
  // The first packet of a flow that was opened on another host may be a
  // retransmission, so it counts neither as a response nor as a failure.
  const bool heard =
    isFirst ? aRecord.m_sawOpening
            : IsAfter(aPacket.m_acknowledged, aRecord.m_acknowledged);
  const bool repeats = !isFirst && aPacket.m_payloadBytes > 0 && !heard &&
                       !IsAfter(aPacket.m_sequence, aRecord.m_sequence) &&
                       aNow - aRecord.m_lastSeenAt > kMinRetransmitInterval;
  if (heard || isFirst) {
    aRecord.m_acknowledged = aPacket.m_acknowledged;
  }
  if (heard) {
    m_serverHealth.OnResponse(aPacket.m_token, aNow);
    m_slowStart.OnHeard(aPacket.m_token);
    m_zoneHealth.OnResponse(ZoneKey(aServer.m_server.m_zone), aNow);
    if (aServer.m_server.m_zone != m_ownZone) {
      m_otherZoneRespondedAt = aNow;
    }
  } else if (repeats) {
    m_serverHealth.OnDataRetransmitted(aPacket.m_token, aNow);
    NoteSuspicion(aServer, aNow);
    RecordZoneFailure(aServer, aNow);
  }
  if (heard && aRecord.m_awaits == Awaits::Handshake && m_usesSlowStart) {
    m_handshakes.AddSample(
      ZoneKey(aServer.m_server.m_zone), aNow - aRecord.m_awaitsSince, aNow);
  }
  if (heard && aRecord.m_awaits == Awaits::Response) {
    const base::Duration span = aNow - aRecord.m_awaitsSince;
    m_latencies.AddSample(aPacket.m_token, span, aNow);
    if (m_usesSlowStart) {
      m_slowStart.OnResponse(aPacket.m_token,
                             base::HashText(aServer.m_server.m_service),
                             span,
                             aNow);
    }
  }
  if (heard || isFirst) {
    m_flows.SetAwaits(aRecord, Awaits::Nothing, aNow);
  }
  if (isFirst || IsAfter(aPacket.m_sequence, aRecord.m_sequence)) {
    aRecord.m_sequence = aPacket.m_sequence;
    const bool isRequest = aPacket.m_payloadBytes > 0 && !aPacket.m_closes;
    m_flows.SetAwaits(
      aRecord, isRequest ? Awaits::Response : Awaits::Nothing, aNow);
  }
  aRecord.m_established = true;
  aRecord.m_lastSeenAt = aNow;
}

void
ServerSelector::RecordZoneFailure(const ServerRecord& aServer,
                                  base::Instant aNow)
{
  m_zoneHealth.OnDataRetransmitted(ZoneKey(aServer.m_server.m_zone), aNow);
}

bool
ServerSelector::IsSuspectHere(const ServerRecord& aServer,
                              base::Instant aNow) const
{
  return IsZoneSuspect(aServer.m_server.m_zone, aNow) ||
         aServer.m_presence == Presence::Lapsed ||
         m_serverHealth.IsSuspect(aServer.m_token, aNow);
}

std::optional<placing::ServerObservation>
ServerSelector::ObservationOf(std::uint32_t aToken, base::Instant aNow) const
{
  return m_usesSlowStart ? m_sharedLoad.ObservationOf(aToken, aNow)
                         : std::nullopt;
}

bool
ServerSelector::IsReportedFailing(
  std::uint32_t aToken,
  const std::optional<placing::ServerObservation>& aObserved,
  base::Instant aNow) const
{
  return aObserved && aObserved->m_failingHosts >= kFailingHostsForSuspicion &&
         aNow - m_serverHealth.LastResponseAt(aToken) > placing::kReportLife;
}

void
ServerSelector::NoteSuspicion(const ServerRecord& aServer, base::Instant aNow)
{
  if (m_usesSlowStart && m_serverHealth.IsSuspect(aServer.m_token, aNow)) {
    m_slowStart.OnSuspected(SightingOf(aServer), aNow);
  }
}

placing::ServerSighting
ServerSelector::SightingOf(const ServerRecord& aServer) const
{
  return { aServer.m_token,
           aServer.m_server.m_address,
           aServer.m_presenceSince,
           aServer.m_coldUntil,
           m_serverHealth.LastResponseAt(aServer.m_token) };
}

double
ServerSelector::ColdFlowsPerSecond(std::string_view aService) const
{
  const auto& services = m_cache.CurrentGlobal().m_services;
  const auto found =
    std::ranges::find(services, aService, &registry::ServiceRules::m_name);
  return found == services.end() ? 0 : found->m_coldFlowsPerSecond;
}

bool
ServerSelector::AllowsOpening(const ServerRecord& aServer,
                              base::Instant aNow) const
{
  if (!m_usesSlowStart || aNow >= aServer.m_coldUntil) {
    return true;
  }
  const double limit = ColdFlowsPerSecond(aServer.m_server.m_service);
  return limit <= 0 || (aServer.m_server.m_zone == m_ownZone &&
                        m_coldQuota.MaySend(aServer.m_token, limit, aNow));
}

void
ServerSelector::OnPlaced(const ServerRecord& aServer, base::Instant aNow)
{
  if (m_usesSlowStart) {
    m_slowStart.OnPlaced(aServer.m_token, aNow);
  }
  OnOpeningSent(aServer, aNow);
}

void
ServerSelector::OnOpeningSent(const ServerRecord& aServer, base::Instant aNow)
{
  if (m_usesSlowStart && aNow < aServer.m_coldUntil) {
    m_coldQuota.OnSent(aServer.m_token, aNow);
  }
}

base::Duration
ServerSelector::ServiceTimeIn(const placing::LatencyAverage& aAverage,
                              const ServerRecord& aServer,
                              base::Instant aNow) const
{
  if (!aAverage.TellsSpeed()) {
    return base::Duration::zero();
  }
  const base::Duration way =
    m_handshakes.AverageFor(ZoneKey(aServer.m_server.m_zone), aNow);
  return std::max(aAverage.m_latency - way, aAverage.m_latency / kMaxWayParts);
}

void
ServerSelector::AddSlowStart(const ServerRecord& aServer,
                             placing::Candidate& aCandidate,
                             base::Instant aNow)
{
  const auto observed = ObservationOf(aServer.m_token, aNow);
  const placing::LatencyAverage average =
    placing::Merge(m_latencies.Average(aServer.m_token, aNow), observed);
  aCandidate.m_latency = average.m_latency;
  aCandidate.m_serviceTime = ServiceTimeIn(average, aServer, aNow);
  if (IsReportedFailing(aServer.m_token, observed, aNow)) {
    aCandidate.m_suspect = true;
    m_slowStart.OnSuspected(SightingOf(aServer), aNow);
  }
  aCandidate.m_share = m_slowStart.ShareOf(SightingOf(aServer), observed, aNow);
  aCandidate.m_coldAllowed =
    aCandidate.m_cold && ColdFlowsPerSecond(aServer.m_server.m_service) > 0;
}

bool
ServerSelector::IsZoneSuspect(std::string_view aZone, base::Instant aNow) const
{
  return aZone != m_ownZone && m_zoneHealth.IsSuspect(ZoneKey(aZone), aNow);
}

void
ServerSelector::UpdateLoad(TokenEffects& aEffects, base::Instant aNow)
{
  m_loadControl.Tick(
    [&](std::string_view aZone) { return IsZoneSuspect(aZone, aNow); },
    aEffects,
    aNow);
}

std::optional<placing::Placement>
ServerSelector::ChooseInZone(std::string_view aService,
                             std::string_view aZone,
                             std::uint32_t aAvoid,
                             std::uint64_t aHash,
                             base::Instant aNow,
                             placing::Urgency aUrgency)
{
  m_candidates.clear();
  m_cache.ServersByService().SampleZone(
    aService, aZone, registry::SampleSize{}.m_localZoneCount, aHash, m_drawn);
  AddCandidates(m_drawn, aNow);
  ApplyReserve(aService, aUrgency);
  const auto best = placing::Place(m_candidates, aAvoid, aHash);
  return IsGood(best, aAvoid) ? best : std::nullopt;
}

std::optional<placing::Placement>
ServerSelector::ChooseServer(std::string_view aService,
                             std::uint32_t aAvoid,
                             std::uint64_t aHash,
                             base::Instant aNow,
                             placing::Urgency aUrgency)
{
  const std::string_view zone = m_loadControl.ZoneFor(aService, aHash, aNow);
  if (!zone.empty()) {
    if (const auto spilled =
          ChooseInZone(aService, zone, aAvoid, aHash, aNow, aUrgency)) {
      ++m_spilled;
      return spilled;
    }
  }
  m_candidates.clear();
  std::optional<placing::Placement> best;
  for (std::uint64_t draw = 0; draw < kMaxSampleRounds; ++draw) {
    m_cache.ServersByService().Sample(
      aService, m_ownZone, {}, base::Combine(aHash, draw), m_drawn);
    AddCandidates(m_drawn, aNow);
    ApplyReserve(aService, aUrgency);
    best = placing::Place(m_candidates, aAvoid, aHash);
    const bool wereAll = m_drawn.size() < registry::SampleSize{}.m_totalCount;
    if (IsGood(best, aAvoid) || wereAll) {
      return best;
    }
  }
  if (best) {
    return best;
  }
  AddCandidates(m_cache.ServersOf(aService), aNow);
  return placing::Place(m_candidates, aAvoid, aHash);
}

void
ServerSelector::ApplyReserve(std::string_view aService,
                             placing::Urgency aUrgency)
{
  if (aUrgency == placing::Urgency::Equal) {
    return;
  }
  const bool isUrgent = aUrgency == placing::Urgency::Urgent;
  const bool hasNear = std::ranges::any_of(
    m_candidates, [](const auto& aEach) { return aEach.m_sameZone; });
  const auto fits = [&](const placing::Candidate& aEach) {
    const bool isReserved = m_loadControl.IsReserved(aService, aEach.m_token);
    const bool isIdle = !aEach.m_cold && !aEach.m_suspect &&
                        aEach.m_sameZone == hasNear &&
                        aEach.m_activeRequests == 0;
    return isUrgent ? isReserved && isIdle : !isReserved;
  };
  const auto rest =
    std::partition(m_candidates.begin(), m_candidates.end(), fits);
  if (rest != m_candidates.begin()) {
    m_candidates.erase(rest, m_candidates.end());
  }
}

void
ServerSelector::AddCandidates(const registry::ServiceIndex::Servers& aServers,
                              base::Instant aNow)
{
  for (const ServerRecord* server : aServers) {
    if (!CanAcceptFlow(*server) || !AllowsOpening(*server, aNow)) {
      continue;
    }
    placing::Candidate candidate;
    candidate.m_token = server->m_token;
    const FlowCounts count = m_flows.CountsFor(server->m_token);
    candidate.m_openFlows = count.m_openFlows;
    candidate.m_activeRequests = count.m_activeRequests;
    candidate.m_latency = m_latencies.AverageFor(server->m_token, aNow);
    candidate.m_slots = server->m_server.m_slots;
    candidate.m_sameZone = server->m_server.m_zone == m_ownZone;
    candidate.m_cold = aNow < server->m_coldUntil;
    candidate.m_suspect = IsSuspectHere(*server, aNow);
    if (m_usesSlowStart) {
      AddSlowStart(*server, candidate, aNow);
    }
    m_candidates.push_back(candidate);
  }
}

bool
ServerSelector::CanAcceptFlow(const ServerRecord& aServer) const
{
  return m_cache.CanAcceptFlow(aServer);
}

bool
ServerSelector::HasLocalServer(base::Instant aNow) const
{
  return m_cache.ServersByService().HasInZone(
    m_ownZone, [&](const ServerRecord& aServer) {
      return CanAcceptFlow(aServer) && aNow >= aServer.m_coldUntil &&
             !IsSuspectHere(aServer, aNow) &&
             !IsReportedFailing(
               aServer.m_token, ObservationOf(aServer.m_token, aNow), aNow);
    });
}

bool
ServerSelector::IsConfirmedGone(const ServerRecord& aServer,
                                base::Instant aNow) const
{
  const bool isGone = aServer.m_presence == Presence::Gone &&
                      aNow - aServer.m_presenceSince > kMinGoneTime;
  const bool isMissed = aServer.m_presence == Presence::Lapsed &&
                        m_serverHealth.IsSuspect(aServer.m_token, aNow);
  const bool isSilent = aNow - m_serverHealth.LastResponseAt(aServer.m_token) >
                        kMinSilenceBeforeReset;
  return (isGone || isMissed) && isSilent;
}

void
ServerSelector::Sweep(base::Instant aNow)
{
  m_latencies.Sweep(aNow);
  m_handshakes.Sweep(aNow);
  m_serverHealth.Sweep(aNow);
  m_zoneHealth.Sweep(aNow);
  m_slowStart.Sweep(aNow);
  m_coldQuota.Sweep(aNow);
}

} // namespace wasabiloom::token
