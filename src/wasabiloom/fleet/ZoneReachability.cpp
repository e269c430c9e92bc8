#include "wasabiloom/fleet/ZoneReachability.h"

#include <algorithm>

namespace wasabiloom::fleet {

namespace {

/// Longest time between two ticks that counts as silence of other hosts. After
/// a longer one this process was paused and may have missed answers.
constexpr base::Duration kMaxTickInterval = std::chrono::milliseconds(100);

} // namespace

ZoneReachability::ZoneReachability(std::uint64_t aSeed,
                                   SwimMembership& aMembership)
  : m_membership(aMembership)
  , m_random(aSeed)
{
}

void
ZoneReachability::SetWatching(bool aIsWatching)
{
  if (aIsWatching == m_isWatching) {
    return;
  }
  m_isWatching = aIsWatching;
  m_silence = m_wasAnswered ? base::Duration::zero() : kInitialSilence;
  m_targets.clear();
}

void
ZoneReachability::OnMessage(const Message& aMessage)
{
  const bool isAnswer = std::holds_alternative<ProbeAnswer>(aMessage.m_content);
  if (isAnswer && aMessage.m_sender.m_zone != m_membership.Self().m_zone) {
    m_silence = base::Duration::zero();
    m_wasAnswered = true;
  }
}

void
ZoneReachability::Tick(base::Instant aNow)
{
  const base::Duration interval = aNow - m_tickedAt;
  m_tickedAt = aNow;
  if (!m_isWatching) {
    return;
  }
  m_silence += std::min(interval, kMaxTickInterval);
  if (aNow - m_probedAt >= kReachabilityInterval) {
    m_probedAt = aNow;
    AdoptMembers();
    ProbeZones();
  }
}

void
ZoneReachability::AdoptMembers()
{
  for (const auto& [zone, members] : m_membership.LiveByZone()) {
    const bool isOwn = zone == m_membership.Self().m_zone;
    if (isOwn || members.size() < m_targets[zone].size()) {
      continue;
    }
    std::vector<base::Ipv4Address>& targets = m_targets[zone];
    targets.clear();
    for (const Member* member : members) {
      targets.push_back(member->m_address);
    }
  }
}

void
ZoneReachability::ProbeZones()
{
  for (std::size_t i = 0; i < std::min(kZonesAtOnce, m_targets.size()); ++i) {
    auto zone = m_targets.upper_bound(m_lastZone);
    zone = zone == m_targets.end() ? m_targets.begin() : zone;
    m_lastZone = zone->first;
    const auto& hosts = zone->second;
    std::uniform_int_distribution<std::size_t> draw(0, hosts.size() - 1);
    m_membership.ProbeOnce(hosts[draw(m_random)]);
  }
}

} // namespace wasabiloom::fleet
