#include "wasabiloom/peer/Membership.h"

#include <algorithm>
#include <functional>

namespace wasabiloom::peer {

namespace {

/// The candidates, best score for `aHash` first.
std::vector<base::HostId>
RankFor(const std::vector<base::HostId>& aCandidates, std::uint64_t aHash)
{
  std::vector<std::pair<std::uint64_t, base::HostId>> scored;
  scored.reserve(aCandidates.size());
  for (const base::HostId host : aCandidates) {
    scored.emplace_back(base::Combine(aHash, host.m_value), host);
  }
  std::ranges::sort(scored, std::greater<>());
  std::vector<base::HostId> ranked;
  ranked.reserve(scored.size());
  for (const auto& [score, host] : scored) {
    ranked.push_back(host);
  }
  return ranked;
}

/// The candidate with the best score for `aHash`. Precondition: there is one.
base::HostId
FirstFor(const std::vector<base::HostId>& aCandidates, std::uint64_t aHash)
{
  return *std::ranges::max_element(aCandidates, {}, [&](base::HostId aHost) {
    return std::pair(base::Combine(aHash, aHost.m_value), aHost);
  });
}

} // namespace

Membership::Membership(base::HostId aSelf,
                       std::uint64_t aIncarnation,
                       Outbox& aOutbox)
  : m_self(aSelf)
  , m_incarnation(aIncarnation)
  , m_outbox(aOutbox)
{
  Refresh();
}

bool
Membership::IsLive(base::HostId aHost) const
{
  if (aHost == m_self) {
    return true;
  }
  const auto found = m_peers.find(aHost);
  return found != m_peers.end() && found->second.m_live;
}

bool
Membership::IsLiveProcess(base::HostId aHost, std::uint64_t aIncarnation) const
{
  if (aHost == m_self) {
    return aIncarnation == m_incarnation;
  }
  const auto found = m_peers.find(aHost);
  return found != m_peers.end() && found->second.m_live &&
         found->second.m_incarnation == aIncarnation;
}

const std::vector<base::HostId>&
Membership::LivePeers() const
{
  return m_live;
}

base::HostId
Membership::OwnerOf(std::uint64_t aGroup, std::size_t aMember) const
{
  if (aMember == 0) {
    return FirstFor(m_candidates, aGroup);
  }
  const auto ranked = RankFor(m_candidates, aGroup);
  return ranked[aMember % ranked.size()];
}

bool
Membership::IsJoining(base::HostId aHost) const
{
  const auto found = m_peers.find(aHost);
  return found != m_peers.end() && found->second.m_phase == HostPhase::Joining;
}

base::HostId
Membership::PreviousOwnerOf(std::uint64_t aGroup, base::Instant aNow) const
{
  const bool isRecent =
    m_candidatesChanged || aNow - m_candidatesSince < kHandoverTime;
  const bool known = isRecent && !m_previousCandidates.empty();
  return FirstFor(known ? m_previousCandidates : m_candidates, aGroup);
}

base::HostId
Membership::BackupOf(std::uint64_t aGroup,
                     std::size_t aMember,
                     base::HostId aOther) const
{
  auto ranked = RankFor(m_candidates, aGroup);
  std::erase(ranked, m_self);
  std::erase(ranked, aOther);
  return ranked.empty() ? m_self : ranked[aMember % ranked.size()];
}

std::vector<base::HostId>
Membership::Candidates() const
{
  for (const HostPhase wanted :
       { HostPhase::Ready, HostPhase::Joining, HostPhase::Leaving }) {
    std::vector<base::HostId> found;
    if (m_phase == wanted) {
      found.push_back(m_self);
    }
    for (const auto& [host, peer] : m_peers) {
      if (peer.m_live && peer.m_phase == wanted) {
        found.push_back(host);
      }
    }
    if (!found.empty()) {
      return found;
    }
  }
  return { m_self };
}

void
Membership::Refresh()
{
  m_live.clear();
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_live) {
      m_live.push_back(host);
    }
  }
  std::vector<base::HostId> candidates = Candidates();
  if (candidates != m_candidates) {
    m_previousCandidates = std::move(m_candidates);
    m_candidates = std::move(candidates);
    m_candidatesChanged = true;
  }
  ++m_generation;
}

void
Membership::SetPeers(const std::vector<PeerAddress>& aPeers, base::Instant aNow)
{
  for (auto& [host, peer] : m_peers) {
    peer.m_listed = false;
  }
  for (const PeerAddress& address : aPeers) {
    const base::HostId host = base::MakeHostId(address.m_name);
    if (host != m_self) {
      m_peers[host].m_address = address;
      m_peers[host].m_listed = true;
    }
  }
  std::erase_if(m_peers, [](const auto& aItem) {
    return !aItem.second.m_listed && !aItem.second.m_live;
  });
  if (!m_hasList) {
    m_hasList = true;
    m_listenSince = aNow;
  }
  Refresh();
}

bool
Membership::Hear(base::HostId aFrom,
                 std::uint64_t aIncarnation,
                 base::Instant aNow)
{
  const auto found = m_peers.find(aFrom);
  if (found == m_peers.end() || aIncarnation < found->second.m_incarnation) {
    return false;
  }
  Peer& peer = found->second;
  const bool hasStarted = aIncarnation > peer.m_incarnation;
  if (hasStarted) {
    peer.m_incarnation = aIncarnation;
    peer.m_phase = HostPhase::Joining;
    peer.m_rejoins = 0;
    peer.m_hearsMe = false;
    peer.m_bundleVersion = 0;
    m_lastDeparture = peer.m_live ? aNow : m_lastDeparture;
    peer.m_live = false;
  }
  peer.m_heardAt = aNow;
  if (!peer.m_live && peer.m_phase != HostPhase::Left) {
    peer.m_live = true;
    Refresh();
  }
  if (hasStarted) {
    // The new process has no records of the requests of the previous one.
    std::erase(m_previousCandidates, aFrom);
  }
  return true;
}

void
Membership::OnHeartbeat(base::HostId aFrom, const Heartbeat& aHeartbeat)
{
  Peer& peer = m_peers.at(aFrom);
  if (std::pair(aHeartbeat.m_rejoins, aHeartbeat.m_phase) <
      std::pair(peer.m_rejoins, peer.m_phase)) {
    return;
  }
  peer.m_rejoins = aHeartbeat.m_rejoins;
  peer.m_bundleVersion = aHeartbeat.m_bundleVersion;
  peer.m_hearsMe = aHeartbeat.m_hearsReceiver;
  if (m_phase == HostPhase::Joining && aHeartbeat.m_recentDeparture) {
    m_lastDeparture = peer.m_heardAt;
  }
  if (peer.m_phase == aHeartbeat.m_phase) {
    return;
  }
  peer.m_phase = aHeartbeat.m_phase;
  if (peer.m_phase == HostPhase::Left) {
    peer.m_live = false;
    m_lastDeparture = peer.m_heardAt;
  }
  Refresh();
}

void
Membership::Tick(const KnownVersions& aVersions, base::Instant aNow)
{
  DropSilent(aNow);
  if (m_candidatesChanged) {
    m_candidatesChanged = false;
    m_candidatesSince = aNow;
  }
  SendHeartbeats(aVersions, aNow);
}

void
Membership::DropSilent(base::Instant aNow)
{
  bool changed = false;
  for (auto& [host, peer] : m_peers) {
    if (peer.m_live && aNow - peer.m_heardAt > kPeerTimeout) {
      peer.m_live = false;
      peer.m_hearsMe = false;
      m_lastDeparture = aNow;
      changed = true;
    }
  }
  if (changed) {
    Refresh();
  }
}

/// A heartbeat goes to every peer that has heard nothing for an interval, or
/// does not know what this host would say now.
void
Membership::SendHeartbeats(const KnownVersions& aVersions, base::Instant aNow)
{
  Heartbeat heartbeat;
  heartbeat.m_phase = m_phase;
  heartbeat.m_bundleVersion = aVersions.m_bundle;
  heartbeat.m_listRevision = aVersions.m_list;
  heartbeat.m_rejoins = m_rejoins;
  heartbeat.m_recentDeparture = HasRecentDeparture(aNow);
  for (auto& [host, peer] : m_peers) {
    heartbeat.m_hearsReceiver = peer.m_live;
    const bool silent = aNow - peer.m_sentAt >= kHeartbeatInterval;
    if (silent || heartbeat != peer.m_told) {
      peer.m_told = heartbeat;
      peer.m_sentAt = aNow;
      m_outbox.Send(host, heartbeat);
    }
  }
}

void
Membership::NoteSent(base::HostId aTo, base::Instant aNow)
{
  const auto found = m_peers.find(aTo);
  if (found != m_peers.end()) {
    found->second.m_sentAt = aNow;
  }
}

void
Membership::SetPhase(HostPhase aPhase,
                     const KnownVersions& aVersions,
                     base::Instant aNow)
{
  m_rejoins += aPhase < m_phase ? 1 : 0;
  m_phase = aPhase;
  Refresh();
  SendHeartbeats(aVersions, aNow);
}

void
Membership::ForgetAll(base::Instant aNow)
{
  for (auto& [host, peer] : m_peers) {
    peer.m_live = false;
    peer.m_hearsMe = false;
  }
  m_listenSince = aNow;
  Refresh();
}

bool
Membership::IsHeardByAll() const
{
  return std::ranges::all_of(m_peers, [](const auto& aItem) {
    const Peer& peer = aItem.second;
    const bool matters = peer.m_live && peer.m_phase == HostPhase::Ready;
    return !matters || peer.m_hearsMe;
  });
}

bool
Membership::HasListened(base::Instant aNow) const
{
  if (!m_hasList) {
    return false;
  }
  const bool allHeard = std::ranges::all_of(
    m_peers, [](const auto& aItem) { return aItem.second.m_live; });
  return allHeard || aNow - m_listenSince >= kPeerTimeout;
}

bool
Membership::HasReadyPeer() const
{
  return std::ranges::any_of(m_peers, [](const auto& aItem) {
    return aItem.second.m_live && aItem.second.m_phase == HostPhase::Ready;
  });
}

const PeerAddress*
Membership::Find(base::HostId aHost) const
{
  const auto found = m_peers.find(aHost);
  return found == m_peers.end() ? nullptr : &found->second.m_address;
}

base::HostId
Membership::PeerWithBundleAbove(std::uint64_t aVersion) const
{
  base::HostId best;
  std::uint64_t bestVersion = aVersion;
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_live && peer.m_bundleVersion > bestVersion) {
      best = host;
      bestVersion = peer.m_bundleVersion;
    }
  }
  return best;
}

} // namespace wasabiloom::peer
