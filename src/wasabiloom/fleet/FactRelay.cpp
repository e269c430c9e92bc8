#include "wasabiloom/fleet/FactRelay.h"

#include "wasabiloom/registry/FactsCodec.h"

#include <algorithm>
#include <cmath>

namespace wasabiloom::fleet {

namespace {

/// Returns `aUpdate`, without its facts if it is too long for a datagram. Its
/// receivers then pull the facts.
registry::RegistryUpdate
Shortened(registry::RegistryUpdate aUpdate)
{
  if (registry::EncodeUpdate(aUpdate).size() > kMaxUpdateBytes) {
    aUpdate.m_facts.clear();
    aUpdate.m_fromRevision = aUpdate.m_toRevision;
  }
  return aUpdate;
}

} // namespace

RelayOutbox::~RelayOutbox() = default;

FactRelay::FactRelay(const RelayTiming& aTiming,
                     std::uint64_t aSeed,
                     const SwimMembership& aRoster,
                     LocalFacts& aFacts,
                     RelayOutbox& aOutbox)
  : m_timing(aTiming)
  , m_random(aSeed)
  , m_roster(aRoster)
  , m_facts(aFacts)
  , m_outbox(aOutbox)
  , m_standbyShare(std::uniform_real_distribution<double>(0, 1)(m_random))
{
}

bool
FactRelay::IsReader() const
{
  return !m_leaving && m_roster.RankInFleet() < kReaders;
}

std::size_t
FactRelay::Turn() const
{
  return m_roster.RankInZone() + m_roster.ZonesBefore();
}

base::Duration
FactRelay::Patience(base::Instant aNow) const
{
  if (IsReader()) {
    return base::Duration::zero();
  }
  const auto silent = std::ranges::count_if(m_silent, [&](const auto& aOne) {
    return aNow - aOne.second < kSilentLately;
  });
  const bool isLeftToOthers =
    Turn() >= kStaggered &&
    silent >= static_cast<std::ptrdiff_t>(kSilentForStandby);
  if (isLeftToOthers) {
    const std::chrono::duration<double> maxAge = m_timing.m_maxUpdateAge;
    return std::chrono::duration_cast<base::Duration>(
      maxAge * (kStandbyAgeFactor + m_standbyShare));
  }
  return m_timing.m_maxUpdateAge +
         std::min(Turn(), kStaggered) * m_timing.m_stagger;
}

void
FactRelay::TellSilence(base::Instant aNow)
{
  const bool isDue = m_facts.IsFailing() && Turn() < 2 * kStaggered &&
                     aNow - m_silenceToldAt > kSilentLately / 2;
  const auto own = m_roster.LiveByZone().find(m_roster.Self().m_zone);
  if (!isDue || own == m_roster.LiveByZone().end()) {
    return;
  }
  m_silenceToldAt = aNow;
  m_outbox.SendRegistrySilent(Shuffle(own->second));
}

void
FactRelay::OnRegistrySilent(base::Ipv4Address aFrom, base::Instant aNow)
{
  m_silent[aFrom] = aNow;
  std::erase_if(m_silent, [&](const auto& aOne) {
    return aNow - aOne.second > kSilentLately;
  });
}

void
FactRelay::Tick(base::Instant aNow)
{
  m_facts.SetMaxUpdateAge(Patience(aNow), Turn() >= kStaggered);
  TellSilence(aNow);
  if (m_facts.AnsweredAt() <= m_toldAt) {
    return;
  }
  const auto update = m_facts.UpdateSince(m_toldBefore, aNow);
  if (!update) {
    return;
  }
  m_toldAt = m_facts.AnsweredAt();
  if (m_toldLast == registry::RegistryRevision{}) {
    // Changes that precede the first answer to this host are already known to
    // the other hosts.
    m_toldLast = update->m_toRevision;
    m_toldBefore = update->m_toRevision;
    return;
  }
  m_toldBefore = m_toldLast;
  m_toldLast = update->m_toRevision;
  TellFleet(Shortened(*update));
}

void
FactRelay::TellFleet(const registry::RegistryUpdate& aUpdate)
{
  std::vector<RelayCopy> copies;
  for (const auto& [zone, members] : m_roster.LiveByZone()) {
    if (zone != m_roster.Self().m_zone && !members.empty()) {
      copies.push_back({ Shuffle(members).front(), { aUpdate, true, {} } });
    }
  }
  AddZone(aUpdate, copies);
  m_outbox.SendUpdates(copies);
}

void
FactRelay::AddZone(const registry::RegistryUpdate& aUpdate,
                   std::vector<RelayCopy>& aCopies)
{
  const auto own = m_roster.LiveByZone().find(m_roster.Self().m_zone);
  if (own == m_roster.LiveByZone().end()) {
    return;
  }
  const auto peers = Shuffle(own->second);
  const auto heads = static_cast<std::size_t>(
    std::ceil(std::sqrt(static_cast<double>(peers.size()))));
  for (std::size_t head = 0; head < heads; ++head) {
    RelayedUpdate relayed{ aUpdate, false, {} };
    for (std::size_t i = head + heads; i < peers.size(); i += heads) {
      relayed.m_passTo.push_back(peers[i]);
    }
    aCopies.push_back({ peers[head], relayed });
  }
}

std::vector<base::Ipv4Address>
FactRelay::Shuffle(const std::vector<const Member*>& aMembers)
{
  std::vector<std::pair<double, base::Ipv4Address>> drawn;
  drawn.reserve(aMembers.size());
  for (const Member* member : aMembers) {
    // The rate is the square root of the capacity: with the capacity itself,
    // the few hosts of high capacity would send nearly all copies.
    std::exponential_distribution<double> wait(
      std::sqrt(std::max<std::uint32_t>(member->m_capacity, 1)));
    drawn.emplace_back(wait(m_random), member->m_address);
  }
  std::ranges::sort(drawn);
  std::vector<base::Ipv4Address> order;
  order.reserve(drawn.size());
  for (const auto& [wait, address] : drawn) {
    order.push_back(address);
  }
  return order;
}

void
FactRelay::OnRelayedUpdate(base::Ipv4Address aFrom,
                           const RelayedUpdate& aRelayed,
                           base::Instant aNow)
{
  const registry::RegistryUpdate& update = aRelayed.m_update;
  const registry::RegistryRevision known = m_facts.Revision();
  const Duty duty{ aRelayed.m_toZone,
                   aRelayed.m_passTo,
                   std::min(update.m_fromRevision, known) };
  switch (m_facts.OnPeerUpdate(update, aNow)) {
    case registry::UpdateOutcome::Gap:
      m_duty = duty;
      m_outbox.Pull(aFrom, m_facts.PullFrom(aNow));
      return;
    case registry::UpdateOutcome::Applied:
      PassOn(duty, aNow);
      return;
    case registry::UpdateOutcome::Stale:
      return;
  }
}

void
FactRelay::OnPullFinished(base::Instant aNow)
{
  if (m_duty) {
    PassOn(*m_duty, aNow);
    m_duty.reset();
  }
}

void
FactRelay::PassOn(const Duty& aDuty, base::Instant aNow)
{
  if (!aDuty.m_toZone && aDuty.m_passTo.empty()) {
    return;
  }
  const auto update = m_facts.UpdateSince(aDuty.m_from, aNow);
  if (!update) {
    return;
  }
  const registry::RegistryUpdate shortened = Shortened(*update);
  std::vector<RelayCopy> copies;
  if (aDuty.m_toZone) {
    AddZone(shortened, copies);
  }
  for (const base::Ipv4Address peer : aDuty.m_passTo) {
    copies.push_back({ peer, { shortened, false, {} } });
  }
  m_outbox.SendUpdates(copies);
}

} // namespace wasabiloom::fleet
