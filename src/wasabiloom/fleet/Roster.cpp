#include "wasabiloom/fleet/Roster.h"

#include <algorithm>
#include <bit>

namespace wasabiloom::fleet {

namespace {

/// Between two exchanges of all statements with one member; longer in large
/// fleets, so that the bytes a second stay the same.
constexpr base::Duration kWholeInterval = std::chrono::seconds(15);
constexpr base::Duration kWholeIntervalAMember = std::chrono::milliseconds(50);

/// The first such exchanges after a start follow each other sooner.
constexpr base::Duration kFirstWhole = std::chrono::milliseconds(200);

/// Between two looks for members whose time is over.
constexpr base::Duration kExpireInterval = std::chrono::milliseconds(200);

/// Members that are told of a departure at once.
constexpr std::size_t kFarewells = 6;

} // namespace

RosterOutbox::~RosterOutbox() = default;

Roster::Roster(Member aSelf, std::uint64_t aSeed, RosterOutbox& aOutbox)
  : m_self(std::move(aSelf))
  , m_outbox(aOutbox)
  , m_random(aSeed)
{
}

Roster::~Roster() = default;

void
Roster::SetSeeds(std::vector<base::Ipv4Address> aSeeds)
{
  std::erase(aSeeds, m_self.m_address);
  m_seeds = std::move(aSeeds);
}

Message
Roster::Compose(Content aContent)
{
  return { m_self, m_updates.Take(), std::move(aContent) };
}

void
Roster::OnMessage(const Message& aMessage, base::Instant aNow)
{
  if (aMessage.m_sender.m_address == m_self.m_address) {
    return;
  }
  Learn(aMessage.m_sender, kRidesOfArrival, aNow);
  const bool isRoll = std::holds_alternative<Roll>(aMessage.m_content);
  for (const Member& member : aMessage.m_updates) {
    Learn(member, isRoll ? 0 : kRidesOfArrival, aNow);
  }
  Reindex();
  OnContent(aMessage, aNow);
}

void
Roster::Learn(const Member& aMember,
              std::size_t aRidesOfArrival,
              base::Instant aNow)
{
  if (aMember.m_address == m_self.m_address) {
    LearnOfSelf(aMember);
    return;
  }
  const auto known = m_entries.find(aMember.m_address);
  if (known == m_entries.end()) {
    if (aMember.m_standing == Standing::Gone) {
      return;
    }
    m_entries.emplace(aMember.m_address, Entry{ aMember, aNow });
    m_updates.Add(aMember, aRidesOfArrival);
  } else if (Overrides(aMember, known->second.m_member)) {
    known->second = { aMember, aNow };
    m_updates.Add(aMember, RidesOfChange(m_entries.size()));
  } else {
    return;
  }
  m_changed = true;
  m_outbox.OnStanding(aMember);
}

void
Roster::LearnOfSelf(const Member& aMember)
{
  const bool accused = aMember.m_standing != Standing::Alive;
  if (m_leaving || aMember.m_incarnation < m_self.m_incarnation ||
      (!accused && aMember.m_incarnation == m_self.m_incarnation)) {
    return;
  }
  m_self.m_incarnation = aMember.m_incarnation + 1;
  m_updates.Add(m_self, RidesOfChange(m_entries.size()));
}

void
Roster::OnContent(const Message& aMessage, base::Instant aNow)
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
Roster::SendAccusing(base::Ipv4Address aTo, Content aContent)
{
  Message message = Compose(std::move(aContent));
  const auto known = m_entries.find(aTo);
  if (known != m_entries.end() &&
      known->second.m_member.m_standing != Standing::Alive) {
    message.m_updates.push_back(known->second.m_member);
  }
  m_outbox.SendTo(aTo, message);
}

void
Roster::TellAll(base::Ipv4Address aTo)
{
  Message roll{ m_self, {}, Roll{} };
  for (const auto& [address, entry] : m_entries) {
    if (address == aTo || entry.m_member.m_standing == Standing::Gone) {
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
Roster::OnAnswer(std::uint32_t aSequence)
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
Roster::Help(const Message& aMessage, base::Instant aNow)
{
  const auto& request = std::get<ProbeRequest>(aMessage.m_content);
  const std::uint32_t sequence = SendProbe(request.m_target, false);
  m_foreign[sequence] = { aMessage.m_sender.m_address,
                          request.m_sequence,
                          aNow };
}

std::uint32_t
Roster::SendProbe(base::Ipv4Address aTo, bool aWantsAll)
{
  ++m_sequence;
  SendAccusing(aTo, Probe{ m_sequence, aWantsAll });
  return m_sequence;
}

void
Roster::Tick(base::Instant aNow)
{
  if (m_tickedAt == base::Instant{}) {
    m_wholeAt = aNow;
    m_wholePause = kFirstWhole;
    // Hosts that start together don't probe in step.
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
Roster::FinishProbe(base::Instant aNow)
{
  if (!m_probe) {
    return;
  }
  const base::Ipv4Address target = m_probe->m_target;
  m_probe.reset();
  m_misses = std::min(m_misses + 1, 2 * kMaxMisses);
  const auto known = m_entries.find(target);
  if (m_misses > kMaxMisses || known == m_entries.end() ||
      known->second.m_member.m_standing != Standing::Alive) {
    return;
  }
  Member accused = known->second.m_member;
  accused.m_standing = Standing::Suspect;
  Learn(accused, 0, aNow);
  Reindex();
  SendProbe(target, false);
}

void
Roster::BeginProbe(base::Instant aNow)
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
    // Among hosts that start together both sides know what the other lacks.
    TellAll(target);
  }
  m_probe = OwnProbe{ target, SendProbe(target, wantsAll), aNow, false };
}

base::Ipv4Address
Roster::NextTarget()
{
  ++m_probes;
  const bool far = m_probes % kProbesAFarOne == 0 || m_index.Near().empty();
  return far && !m_index.Far().empty()
           ? m_farRound.Next(m_index.Far(), m_random)
           : m_nearRound.Next(m_index.Near(), m_random);
}

void
Roster::AskHelpers()
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
Roster::CallSeeds(base::Instant aNow)
{
  const bool isFirst = m_calledAt == base::Instant{};
  if (!isFirst && aNow - m_calledAt < kJoinInterval) {
    return;
  }
  m_calledAt = aNow;
  // Who else lives is asked of members in turn, so that the seeds of a fleet
  // that starts at once need not tell all to all.
  for (const base::Ipv4Address seed : m_seeds) {
    SendProbe(seed, false);
  }
}

void
Roster::Revive(base::Instant aNow)
{
  m_revivedAt = aNow;
  std::vector<base::Ipv4Address> away;
  for (const base::Ipv4Address seed : m_seeds) {
    if (!std::ranges::binary_search(m_index.All(), seed)) {
      away.push_back(seed);
    }
  }
  for (const auto& [address, entry] : m_entries) {
    if (entry.m_member.m_standing == Standing::Gone) {
      away.push_back(address);
    }
  }
  if (!away.empty()) {
    SendProbe(away[Draw(away.size())], true);
  }
}

void
Roster::Expire(base::Instant aNow)
{
  if (aNow - m_expiredAt < kExpireInterval) {
    return;
  }
  m_expiredAt = aNow;
  const int doublings =
    std::max<int>(kSuspicionDoublings,
                  static_cast<int>(std::bit_width(m_index.All().size())));
  const base::Duration patience =
    kSuspicionTime * doublings / kSuspicionDoublings;
  std::vector<Member> silent;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const base::Duration age = aNow - entry->second.m_since;
    const Member& member = entry->second.m_member;
    if (member.m_standing == Standing::Suspect && age > patience) {
      silent.push_back(member);
    }
    const bool forget =
      member.m_standing == Standing::Gone && age > kTombstoneLife;
    m_changed |= forget;
    entry = forget ? m_entries.erase(entry) : std::next(entry);
  }
  for (Member& member : silent) {
    member.m_standing = Standing::Gone;
    Learn(member, 0, aNow);
  }
  std::erase_if(m_foreign, [&](const auto& aOne) {
    return aNow - aOne.second.m_at > kProbeInterval;
  });
}

void
Roster::Reindex()
{
  if (!m_changed) {
    return;
  }
  m_changed = false;
  std::vector<const Member*> live;
  live.reserve(m_entries.size());
  for (const auto& [address, entry] : m_entries) {
    if (entry.m_member.m_standing != Standing::Gone) {
      live.push_back(&entry.m_member);
    }
  }
  m_index.Build(m_self, live);
}

void
Roster::Leave()
{
  m_leaving = true;
  m_self.m_standing = Standing::Gone;
  std::vector<base::Ipv4Address> told = m_index.Near();
  std::ranges::shuffle(told, m_random);
  told.resize(std::min(told.size(), kFarewells));
  for (const base::Ipv4Address peer : told) {
    m_outbox.SendTo(peer, Message{ m_self, {}, Roll{} });
  }
}

std::optional<Member>
Roster::Find(base::Ipv4Address aAddress) const
{
  const auto known = m_entries.find(aAddress);
  if (known == m_entries.end()) {
    return std::nullopt;
  }
  return known->second.m_member;
}

std::size_t
Roster::Draw(std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(m_random);
}

} // namespace wasabiloom::fleet
