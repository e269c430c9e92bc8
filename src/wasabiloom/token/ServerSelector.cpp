#include "wasabiloom/token/ServerSelector.h"

#include "wasabiloom/base/Hash.h"

#include <algorithm>
#include <iterator>

namespace wasabiloom::token {

namespace {

using packet::TokenPacket;
using registry::Presence;
using registry::ServerRecord;
using registry::ServerState;

/// Key of a zone in PassiveHealthCheck, which tracks servers by token.
std::uint32_t
ZoneKey(const std::string& aZone)
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
                               const placing::SharedLoad& aSharedLoad)
  : m_ownZone(std::move(aOwnZone))
  , m_cache(aCache)
  , m_flows(aFlows)
  , m_sharedLoad(aSharedLoad)
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
  const std::string& zone = aServer.m_server.m_zone;
  const bool inDoubtfulZone =
    zone != m_ownZone && m_zoneHealth.IsSuspect(ZoneKey(zone), aNow);
  return inDoubtfulZone || aServer.m_presence == Presence::Lapsed ||
         m_serverHealth.IsSuspect(aServer.m_token, aNow);
}

std::optional<placing::Placement>
ServerSelector::ChooseServer(std::string_view aService,
                             std::uint32_t aAvoid,
                             std::uint64_t aHash,
                             base::Instant aNow)
{
  m_candidates.clear();
  std::optional<placing::Placement> best;
  for (std::uint64_t draw = 0; draw < kMaxSampleRounds; ++draw) {
    m_cache.ServersByService().Sample(
      aService, m_ownZone, {}, base::Combine(aHash, draw), m_drawn);
    AddCandidates(m_drawn, aNow);
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

placing::HostLoad
ServerSelector::TakeLoad(base::Instant aNow)
{
  return { TakeRequests(aNow), TakeSamples(aNow) };
}

std::vector<placing::GroupRequests>
ServerSelector::TakeRequests(base::Instant aNow)
{
  std::map<placing::ServerGroup, double> sums;
  for (const AverageRequests& average : m_flows.TakeAverages(aNow)) {
    const ServerRecord* server = m_cache.FindByToken(average.m_token);
    // Requests at a server that takes no flows are no load of the others.
    if (server != nullptr && CanAcceptFlow(*server) &&
        aNow >= server->m_coldUntil) {
      sums[{ server->m_server.m_service, server->m_server.m_zone }] +=
        average.m_requests;
    }
  }
  std::vector<placing::GroupRequests> requests;
  requests.reserve(sums.size());
  for (const auto& [group, sum] : sums) {
    requests.push_back({ group, sum });
  }
  std::ranges::sort(
    requests, std::greater{}, &placing::GroupRequests::m_requests);
  requests.resize(std::min(requests.size(), placing::kMaxGroupsPerHost));
  return requests;
}

std::vector<placing::ServerSample>
ServerSelector::TakeSamples(base::Instant aNow)
{
  std::vector<std::uint32_t> failing = m_serverHealth.FailingOpenings(aNow);
  std::ranges::sort(failing);
  std::vector<std::uint32_t> recovered;
  std::ranges::set_difference(
    m_reportedFailing, failing, std::back_inserter(recovered));
  std::vector<placing::SampleCount> counts = m_latencies.Counts(aNow);
  std::vector<placing::ServerSample> samples;
  const auto add = [&](std::uint32_t aToken, bool aIsFailing) {
    const auto count =
      std::ranges::find(counts, aToken, &placing::SampleCount::m_token);
    samples.push_back({ aToken,
                        m_latencies.AverageFor(aToken, aNow),
                        count == counts.end() ? 0 : count->m_samples,
                        aIsFailing });
    m_latencies.RestartCount(aToken);
  };
  failing.resize(std::min(failing.size(), kMaxReportedServers));
  recovered.resize(std::min(recovered.size(), kMaxReportedServers));
  for (const std::uint32_t token : recovered) {
    add(token, false);
  }
  for (const std::uint32_t token : failing) {
    add(token, true);
  }
  const std::size_t room =
    kMaxReportedServers - std::min(samples.size(), kMaxReportedServers);
  std::erase_if(counts, [&](const placing::SampleCount& aCount) {
    return std::ranges::find(samples,
                             aCount.m_token,
                             &placing::ServerSample::m_token) != samples.end();
  });
  const auto end =
    counts.begin() + static_cast<std::ptrdiff_t>(std::min(room, counts.size()));
  std::ranges::partial_sort(
    counts, end, std::greater{}, &placing::SampleCount::m_samples);
  for (auto count = counts.begin(); count != end; ++count) {
    samples.push_back({ count->m_token,
                        m_latencies.AverageFor(count->m_token, aNow),
                        count->m_samples,
                        false });
    m_latencies.RestartCount(count->m_token);
  }
  m_reportedFailing = std::move(failing);
  return samples;
}

placing::GroupSlots
ServerSelector::UsableSlots(base::Instant aNow) const
{
  placing::GroupSlots slots;
  m_cache.ServersByService().ForEachList(
    [&](const std::string& aService,
        const std::string& aZone,
        const registry::ServiceIndex::Servers& aServers) {
      std::uint64_t sum = 0;
      const bool isOut = m_cache.ZoneOutSince(aZone).has_value();
      for (const ServerRecord* server : aServers) {
        const bool counts = !isOut && !server->m_tokenCollides &&
                            server->m_server.m_state == ServerState::Ready &&
                            aNow >= server->m_coldUntil;
        sum += counts ? server->m_server.m_slots : 0;
      }
      if (sum > 0) {
        slots[{ aService, aZone }] = sum;
      }
    });
  return slots;
}

void
ServerSelector::Sweep(base::Instant aNow)
{
  m_latencies.Sweep(aNow);
  m_serverHealth.Sweep(aNow);
  m_zoneHealth.Sweep(aNow);
}

} // namespace wasabiloom::token
