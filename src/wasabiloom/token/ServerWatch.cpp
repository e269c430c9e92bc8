#include "wasabiloom/token/ServerWatch.h"

#include "wasabiloom/base/Hash.h"

namespace wasabiloom::token {

namespace {

using packet::TokenPacket;
using registry::Presence;
using registry::ServerBelief;
using registry::ServerState;

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

} // namespace

ServerWatch::ServerWatch(std::string aOwnZone,
                         const registry::Beliefs& aBeliefs,
                         FlowMemory& aFlows)
  : m_ownZone(std::move(aOwnZone))
  , m_beliefs(aBeliefs)
  , m_flows(aFlows)
{
}

void
ServerWatch::OnUnanswered(const ServerBelief& aServer, base::Instant aNow)
{
  m_suspicion.OnUnanswered(aServer.m_token, aNow);
  DoubtZone(aServer, aNow);
}

void
ServerWatch::OnProgress(const TokenPacket& aPacket,
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
                       !IsAfter(aPacket.m_sequence, aRecord.m_sequence) &&
                       aNow - aRecord.m_seenAt > kRepeatedAtOnce;
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
ServerWatch::DoubtZone(const ServerBelief& aServer, base::Instant aNow)
{
  m_zoneSuspicion.OnStall(ZoneKey(aServer.m_server.m_zone), aNow);
}

bool
ServerWatch::IsSuspect(const ServerBelief& aServer, base::Instant aNow) const
{
  const std::string& zone = aServer.m_server.m_zone;
  const bool inDoubtfulZone =
    zone != m_ownZone && m_zoneSuspicion.IsSuspect(ZoneKey(zone), aNow);
  return inDoubtfulZone || aServer.m_presence == Presence::Lapsed ||
         m_suspicion.IsSuspect(aServer.m_token, aNow);
}

std::optional<placing::Placement>
ServerWatch::Choose(std::string_view aService,
                    std::uint32_t aAvoid,
                    std::uint64_t aHash,
                    base::Instant aNow)
{
  m_candidates.clear();
  std::optional<placing::Placement> best;
  for (std::uint64_t draw = 0; draw < kDraws; ++draw) {
    m_beliefs.Index().Draw(
      aService, m_ownZone, {}, base::Combine(aHash, draw), m_drawn);
    AddCandidates(m_drawn, aNow);
    best = placing::Place(m_candidates, aAvoid, aHash);
    const bool isGood = best &&
                        best->m_reason == placing::PlaceReason::LeastLoad &&
                        best->m_token != aAvoid;
    const bool wereAll = m_drawn.size() < registry::DrawSize{}.m_all;
    if (isGood || wereAll) {
      return best;
    }
  }
  if (best) {
    return best;
  }
  AddCandidates(m_beliefs.ServersOf(aService), aNow);
  return placing::Place(m_candidates, aAvoid, aHash);
}

void
ServerWatch::AddCandidates(const registry::ServiceIndex::Servers& aServers,
                           base::Instant aNow)
{
  for (const ServerBelief* server : aServers) {
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
    candidate.m_sameZone = server->m_server.m_zone == m_ownZone;
    candidate.m_cold = aNow < server->m_coldUntil;
    candidate.m_suspect = IsSuspect(*server, aNow);
    m_candidates.push_back(candidate);
  }
}

bool
ServerWatch::MayTakeFlow(const ServerBelief& aServer) const
{
  const bool isThere = aServer.m_presence == Presence::Listed ||
                       aServer.m_presence == Presence::Lapsed;
  return isThere && !aServer.m_clashes &&
         aServer.m_server.m_state == ServerState::Ready &&
         !m_beliefs.ZoneOutSince(aServer.m_server.m_zone);
}

bool
ServerWatch::IsCertainlyGone(const ServerBelief& aServer,
                             base::Instant aNow) const
{
  const bool isGone =
    aServer.m_presence == Presence::Gone && aNow - aServer.m_since > kGoneGrace;
  const bool isMissed = aServer.m_presence == Presence::Lapsed &&
                        m_suspicion.IsSuspect(aServer.m_token, aNow);
  const bool isSilent =
    aNow - m_suspicion.AliveAt(aServer.m_token) > kSilentForCertainty;
  return (isGone || isMissed) && isSilent;
}

void
ServerWatch::Sweep(base::Instant aNow)
{
  m_latencies.Sweep(aNow);
  m_suspicion.Sweep(aNow);
  m_zoneSuspicion.Sweep(aNow);
}

} // namespace wasabiloom::token
