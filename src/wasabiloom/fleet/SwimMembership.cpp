#include "wasabiloom/fleet/SwimMembership.h"

#include <algorithm>
#include <bit>

namespace wasabiloom::fleet {

namespace {

/// Interval between exchanges of all statements with one member. It grows with
/// the number of members in large fleets, so that the bytes per second stay the
/// same.
constexpr base::Duration kWholeInterval = std::chrono::seconds(15);
constexpr base::Duration kWholeIntervalAMember = std::chrono::milliseconds(50);

/// First interval between such exchanges after a start; it doubles up to the
/// regular interval.
constexpr base::Duration kFirstWhole = std::chrono::milliseconds(200);

/// Interval between checks for members whose time has expired.
constexpr base::Duration kExpireInterval = std::chrono::milliseconds(200);

/// Number of members that this host tells of its departure directly.
constexpr std::size_t kDepartureMessages = 6;

} // namespace

MembershipOutbox::~MembershipOutbox() = default;

SwimMembership::SwimMembership(Member aSelf,
                               std::uint64_t aSeed,
                               MembershipOutbox& aOutbox)
  : m_self(std::move(aSelf))
  , m_outbox(aOutbox)
  , m_random(aSeed)
{
}

SwimMembership::~SwimMembership() = default;

void
SwimMembership::SetSeeds(std::vector<base::Ipv4Address> aSeeds)
{
  std::erase(aSeeds, m_self.m_address);
  m_seeds = std::move(aSeeds);
}

Message
SwimMembership::Compose(Content aContent)
{
  return { m_self, m_updates.Take(), std::move(aContent) };
}

void
SwimMembership::OnMessage(const Message& aMessage, base::Instant aNow)
{
  if (aMessage.m_sender.m_address == m_self.m_address) {
    return;
  }
  Learn(aMessage.m_sender, kSendsOfArrival, aNow);
  const bool isRoll = std::holds_alternative<MemberList>(aMessage.m_content);
  for (const Member& member : aMessage.m_updates) {
    Learn(member, isRoll ? 0 : kSendsOfArrival, aNow);
  }
  Reindex();
  OnContent(aMessage, aNow);
}

void
SwimMembership::Learn(const Member& aMember,
                      std::size_t aRidesOfArrival,
                      base::Instant aNow)
{
  if (aMember.m_address == m_self.m_address) {
    LearnOfSelf(aMember);
    return;
  }
  const auto known = m_entries.find(aMember.m_address);
  if (known == m_entries.end()) {
    if (aMember.m_state == MemberState::Gone) {
      return;
    }
    m_entries.emplace(aMember.m_address, Entry{ aMember, aNow });
    m_updates.Add(aMember, aRidesOfArrival);
  } else if (Overrides(aMember, known->second.m_member)) {
    known->second = { aMember, aNow };
    m_updates.Add(aMember, SendsOfChange(m_entries.size()));
  } else {
    return;
  }
  m_changed = true;
  m_outbox.OnMemberState(aMember);
}

void
SwimMembership::LearnOfSelf(const Member& aMember)
{
  const bool accused = aMember.m_state != MemberState::Alive;
  if (m_leaving || aMember.m_incarnation < m_self.m_incarnation ||
      (!accused && aMember.m_incarnation == m_self.m_incarnation)) {
    return;
  }
  m_self.m_incarnation = aMember.m_incarnation + 1;
  m_updates.Add(m_self, SendsOfChange(m_entries.size()));
}

void
SwimMembership::OnContent(const Message& aMessage, base::Instant aNow)
{
  if (const auto* probe = std::get_if<Probe>(&aMessage.m_content)) {
    SendAccusing(aMessage.m_sender.m_address, ProbeAnswer{ probe->m_sequence });
    if (probe->m_wantsAll) {
      TellAll(aMessage.m_sender.m_address);
    }
  } else if (const auto* answer =
               std::get_if<ProbeAnswer>(&aMessage.m_content)) {
    OnAnswer(answer->m_sequence);
  } else if (std::holds_alternative<ProbeRequest>(aMessage.m_content)) {
    Help(aMessage, aNow);
  }
}

void
SwimMembership::SendAccusing(base::Ipv4Address aTo, Content aContent)
{
  Message message = Compose(std::move(aContent));
  const auto known = m_entries.find(aTo);
  if (known != m_entries.end() &&
      known->second.m_member.m_state != MemberState::Alive) {
    message.m_updates.push_back(known->second.m_member);
  }
  m_outbox.SendTo(aTo, message);
}

void
SwimMembership::TellAll(base::Ipv4Address aTo)
{
  Message roll{ m_self, {}, MemberList{} };
  for (const auto& [address, entry] : m_entries) {
    if (address == aTo || entry.m_member.m_state == MemberState::Gone) {
      continue;
    }
    roll.m_updates.push_back(entry.m_member);
    if (roll.m_updates.size() == kMembersARoll) {
      m_outbox.SendTo(aTo, roll);
      roll.m_updates.clear();
    }
  }
  if (!roll.m_updates.empty()) {
    m_outbox.SendTo(aTo, roll);
  }
}

void
SwimMembership::OnAnswer(std::uint32_t aSequence)
{
  const auto foreign = m_foreign.find(aSequence);
  if (foreign != m_foreign.end()) {
    m_outbox.SendTo(foreign->second.m_asker,
                    Compose(ProbeAnswer{ foreign->second.m_askersSequence }));
    m_foreign.erase(foreign);
    return;
  }
  if (m_probe && m_probe->m_sequence == aSequence) {
    m_probe.reset();
    m_misses = std::max(0, m_misses - 1);
  }
}

void
SwimMembership::Help(const Message& aMessage, base::Instant aNow)
{
  const auto& request = std::get<ProbeRequest>(aMessage.m_content);
  const std::uint32_t sequence = SendProbe(request.m_target, false);
  m_foreign[sequence] = { aMessage.m_sender.m_address,
                          request.m_sequence,
                          aNow };
}

std::uint32_t
SwimMembership::SendProbe(base::Ipv4Address aTo, bool aWantsAll)
{
  ++m_sequence;
  SendAccusing(aTo, Probe{ m_sequence, aWantsAll });
  return m_sequence;
}

void
SwimMembership::Tick(base::Instant aNow)
{
  if (m_tickedAt == base::Instant{}) {
    m_wholeAt = aNow;
    m_wholePause = kFirstWhole;
    // A random offset keeps hosts that start together from probing in step.
    m_probedAt = aNow - kProbeInterval * Draw(100) / 100;
    m_revivedAt = aNow;
  } else if (aNow - m_tickedAt > kTickGap) {
    m_probe.reset();
    for (auto& [address, entry] : m_entries) {
      entry.m_since = std::max(entry.m_since, aNow - kProbeInterval);
    }
  }
  m_tickedAt = aNow;
  if (m_leaving) {
    return;
  }
  if (m_index.All().empty()) {
    CallSeeds(aNow);
  }
  if (m_probe && !m_probe->m_helped &&
      aNow - m_probe->m_sentAt > kDirectTimeout) {
    AskHelpers();
  }
  if (aNow - m_probedAt >= kProbeInterval) {
    FinishProbe(aNow);
    BeginProbe(aNow);
  }
  if (aNow - m_revivedAt >= kReviveInterval) {
    Revive(aNow);
  }
  Expire(aNow);
  Reindex();
}

void
SwimMembership::FinishProbe(base::Instant aNow)
{
  if (!m_probe) {
    return;
  }
  const base::Ipv4Address target = m_probe->m_target;
  m_probe.reset();
  m_misses = std::min(m_misses + 1, 2 * kMaxMisses);
  const auto known = m_entries.find(target);
  if (m_misses > kMaxMisses || known == m_entries.end() ||
      known->second.m_member.m_state != MemberState::Alive) {
    return;
  }
  Member accused = known->second.m_member;
  accused.m_state = MemberState::Suspect;
  Learn(accused, 0, aNow);
  Reindex();
  SendProbe(target, false);
}

void
SwimMembership::BeginProbe(base::Instant aNow)
{
  m_probedAt = aNow;
  if (m_index.All().empty()) {
    return;
  }
  const bool wantsAll = aNow - m_wholeAt >= m_wholePause;
  const bool isStart = m_wholePause < kWholeInterval;
  if (wantsAll) {
    m_wholeAt = aNow;
    m_wholePause = std::min(
      2 * m_wholePause,
      std::max(kWholeInterval,
               kWholeIntervalAMember * static_cast<int>(m_index.All().size())));
  }
  const base::Ipv4Address target = NextTarget();
  if (wantsAll && isStart) {
    // When hosts start together, each side knows members that the other lacks.
    TellAll(target);
  }
  m_probe = OwnProbe{ target, SendProbe(target, wantsAll), aNow, false };
}

base::Ipv4Address
SwimMembership::NextTarget()
{
  ++m_probes;
  const bool far = m_probes % kProbesAFarOne == 0 || m_index.SameZone().empty();
  return far && !m_index.OtherZones().empty()
           ? m_farRound.Next(m_index.OtherZones(), m_random)
           : m_nearRound.Next(m_index.SameZone(), m_random);
}

void
SwimMembership::AskHelpers()
{
  m_probe->m_helped = true;
  for (std::size_t i = 0; i < kHelpers && m_index.All().size() > 1; ++i) {
    const base::Ipv4Address helper = m_index.All()[Draw(m_index.All().size())];
    if (helper != m_probe->m_target) {
      m_outbox.SendTo(
        helper,
        Compose(ProbeRequest{ m_probe->m_sequence, m_probe->m_target }));
    }
  }
}

void
SwimMembership::CallSeeds(base::Instant aNow)
{
  const bool isFirst = m_calledAt == base::Instant{};
  if (!isFirst && aNow - m_calledAt < kJoinInterval) {
    return;
  }
  m_calledAt = aNow;
  // The seeds are not asked for all members here: later probes ask one member
  // after another, so that the seeds of a fleet that starts all at once need
  // not send every member to every host.
  for (const base::Ipv4Address seed : m_seeds) {
    SendProbe(seed, false);
  }
}

void
SwimMembership::Revive(base::Instant aNow)
{
  m_revivedAt = aNow;
  std::vector<base::Ipv4Address> away;
  for (const base::Ipv4Address seed : m_seeds) {
    if (!std::ranges::binary_search(m_index.All(), seed)) {
      away.push_back(seed);
    }
  }
  for (const auto& [address, entry] : m_entries) {
    if (entry.m_member.m_state == MemberState::Gone) {
      away.push_back(address);
    }
  }
  if (!away.empty()) {
    SendProbe(away[Draw(away.size())], true);
  }
}

void
SwimMembership::Expire(base::Instant aNow)
{
  if (aNow - m_expiredAt < kExpireInterval) {
    return;
  }
  m_expiredAt = aNow;
  const int doublings =
    std::max<int>(kSuspicionDoublings,
                  static_cast<int>(std::bit_width(m_index.All().size())));
  const base::Duration suspicionTime =
    kSuspicionTime * doublings / kSuspicionDoublings;
  std::vector<Member> silent;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const base::Duration age = aNow - entry->second.m_since;
    const Member& member = entry->second.m_member;
    if (member.m_state == MemberState::Suspect && age > suspicionTime) {
      silent.push_back(member);
    }
    const bool forget =
      member.m_state == MemberState::Gone && age > kTombstoneLife;
    m_changed |= forget;
    entry = forget ? m_entries.erase(entry) : std::next(entry);
  }
  for (Member& member : silent) {
    member.m_state = MemberState::Gone;
    Learn(member, 0, aNow);
  }
  std::erase_if(m_foreign, [&](const auto& aOne) {
    return aNow - aOne.second.m_at > kProbeInterval;
  });
}

void
SwimMembership::Reindex()
{
  if (!m_changed) {
    return;
  }
  m_changed = false;
  std::vector<const Member*> live;
  live.reserve(m_entries.size());
  for (const auto& [address, entry] : m_entries) {
    if (entry.m_member.m_state != MemberState::Gone) {
      live.push_back(&entry.m_member);
    }
  }
  m_index.Build(m_self, live);
}

void
SwimMembership::Leave()
{
  m_leaving = true;
  m_self.m_state = MemberState::Gone;
  std::vector<base::Ipv4Address> told = m_index.SameZone();
  std::ranges::shuffle(told, m_random);
  told.resize(std::min(told.size(), kDepartureMessages));
  for (const base::Ipv4Address peer : told) {
    m_outbox.SendTo(peer, Message{ m_self, {}, MemberList{} });
  }
}

std::optional<Member>
SwimMembership::Find(base::Ipv4Address aAddress) const
{
  const auto known = m_entries.find(aAddress);
  if (known == m_entries.end()) {
    return std::nullopt;
  }
  return known->second.m_member;
}

std::size_t
SwimMembership::Draw(std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(m_random);
}

} // namespace wasabiloom::fleet
