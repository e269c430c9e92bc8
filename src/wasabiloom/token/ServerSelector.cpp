#include "wasabiloom/token/ServerSelector.h"

#include "wasabiloom/base/Hash.h"

#include <algorithm>

namespace wasabiloom::token {

namespace {

using packet::TokenPacket;
using registry::Presence;
using registry::ServerRecord;
using registry::ServerState;

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
  , m_loadControl(aFeatures, m_ownZone, aCache, aSharedLoad)
{
}

void
ServerSelector::OnOpeningRetransmitted(const ServerRecord& aServer,
                                       base::Instant aNow)
{
  m_serverHealth.OnOpeningRetransmitted(aServer.m_token, aNow);
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
    m_zoneHealth.OnResponse(ZoneKey(aServer.m_server.m_zone), aNow);
    if (aServer.m_server.m_zone != m_ownZone) {
      m_otherZoneRespondedAt = aNow;
    }
  } else if (repeats) {
    m_serverHealth.OnDataRetransmitted(aPacket.m_token, aNow);
    RecordZoneFailure(aServer, aNow);
  }
  if (heard && aRecord.m_awaits == Awaits::Response) {
    m_latencies.AddSample(aPacket.m_token, aNow - aRecord.m_awaitsSince, aNow);
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
ServerSelector::IsSuspect(const ServerRecord& aServer, base::Instant aNow) const
{
  return IsZoneSuspect(aServer.m_server.m_zone, aNow) ||
         aServer.m_presence == Presence::Lapsed ||
         m_serverHealth.IsSuspect(aServer.m_token, aNow);
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
    [&](const ServerRecord& aServer) { return CanAcceptFlow(aServer); },
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
  const bool isGood = best &&
                      best->m_reason == placing::PlaceReason::LeastLoad &&
                      best->m_token != aAvoid;
  return isGood ? best : std::nullopt;
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
    const bool isGood = best &&
                        best->m_reason == placing::PlaceReason::LeastLoad &&
                        best->m_token != aAvoid;
    const bool wereAll = m_drawn.size() < registry::SampleSize{}.m_totalCount;
    if (isGood || wereAll) {
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
    if (!CanAcceptFlow(*server)) {
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
    candidate.m_suspect = IsSuspect(*server, aNow);
    m_candidates.push_back(candidate);
  }
}

bool
ServerSelector::CanAcceptFlow(const ServerRecord& aServer) const
{
  const bool isThere = aServer.m_presence == Presence::Listed ||
                       aServer.m_presence == Presence::Lapsed;
  return isThere && !aServer.m_tokenCollides &&
         aServer.m_server.m_state == ServerState::Ready &&
         !m_cache.ZoneOutSince(aServer.m_server.m_zone);
}

bool
ServerSelector::HasLocalServer(base::Instant aNow) const
{
  return m_cache.ServersByService().HasInZone(
    m_ownZone, [&](const ServerRecord& aServer) {
      return CanAcceptFlow(aServer) && aNow >= aServer.m_coldUntil &&
             !IsSuspect(aServer, aNow);
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
  m_serverHealth.Sweep(aNow);
  m_zoneHealth.Sweep(aNow);
}

} // namespace wasabiloom::token
