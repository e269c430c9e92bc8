#include "wasabiloom/fleet/FactRelay.h"

#include "wasabiloom/registry/FactsCodec.h"

#include <algorithm>
#include <cmath>

namespace wasabiloom::fleet {

namespace {

/// `aNews` with its facts, or without them where they must be pulled.
registry::News
Shortened(registry::News aNews)
{
  if (registry::EncodeNews(aNews).size() > kMaxNewsBytes) {
    aNews.m_facts.clear();
    aNews.m_from = aNews.m_to;
  }
  return aNews;
}

} // namespace

RelayOutbox::~RelayOutbox() = default;

FactRelay::FactRelay(const RelayTiming& aTiming,
                     std::uint64_t aSeed,
                     const Roster& aRoster,
                     FactPool& aFacts,
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
    const std::chrono::duration<double> patience = m_timing.m_patience;
    return std::chrono::duration_cast<base::Duration>(
      patience * (kStandbyPatience + m_standbyShare));
  }
  return m_timing.m_patience +
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
  m_outbox.SendSilent(Shuffle(own->second));
}

void
FactRelay::OnSilent(base::Ipv4Address aFrom, base::Instant aNow)
{
  m_silent[aFrom] = aNow;
  std::erase_if(m_silent, [&](const auto& aOne) {
    return aNow - aOne.second > kSilentLately;
  });
}

void
FactRelay::Tick(base::Instant aNow)
{
  m_facts.SetPatience(Patience(aNow), Turn() >= kStaggered);
  TellSilence(aNow);
  if (m_facts.AnsweredAt() <= m_toldAt) {
    return;
  }
  const auto news = m_facts.NewsSince(m_toldBefore, aNow);
  if (!news) {
    return;
  }
  m_toldAt = m_facts.AnsweredAt();
  if (m_toldLast == 0) {
    // What this host missed before it started is known to the others.
    m_toldLast = news->m_to;
    m_toldBefore = news->m_to;
    return;
  }
  m_toldBefore = m_toldLast;
  m_toldLast = news->m_to;
  TellFleet(Shortened(*news));
}

void
FactRelay::TellFleet(const registry::News& aNews)
{
  std::vector<NewsCopy> copies;
  for (const auto& [zone, members] : m_roster.LiveByZone()) {
    if (zone != m_roster.Self().m_zone && !members.empty()) {
      copies.push_back({ Shuffle(members).front(), { aNews, true, {} } });
    }
  }
  AddZone(aNews, copies);
  m_outbox.SendNews(copies);
}

void
FactRelay::AddZone(const registry::News& aNews, std::vector<NewsCopy>& aCopies)
{
  const auto own = m_roster.LiveByZone().find(m_roster.Self().m_zone);
  if (own == m_roster.LiveByZone().end()) {
    return;
  }
  const auto peers = Shuffle(own->second);
  const auto heads = static_cast<std::size_t>(
    std::ceil(std::sqrt(static_cast<double>(peers.size()))));
  for (std::size_t head = 0; head < heads; ++head) {
    RelayedNews relayed{ aNews, false, {} };
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
    // By the root, or the few capable hosts would send nearly all.
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
FactRelay::OnNews(base::Ipv4Address aFrom,
                  const RelayedNews& aRelayed,
                  base::Instant aNow)
{
  const registry::News& news = aRelayed.m_news;
  const std::uint64_t known = m_facts.Revision();
  const Duty duty{ aRelayed.m_toZone,
                   aRelayed.m_passTo,
                   std::min(news.m_from, known) };
  switch (m_facts.OnNews(news, aNow)) {
    case registry::NewsOutcome::Gap:
      m_duty = duty;
      m_outbox.Pull(aFrom, known);
      return;
    case registry::NewsOutcome::Learned:
      PassOn(duty, aNow);
      return;
    case registry::NewsOutcome::Stale:
      return;
  }
}

void
FactRelay::OnPulled(base::Instant aNow)
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
  const auto news = m_facts.NewsSince(aDuty.m_from, aNow);
  if (!news) {
    return;
  }
  const registry::News shortened = Shortened(*news);
  std::vector<NewsCopy> copies;
  if (aDuty.m_toZone) {
    AddZone(shortened, copies);
  }
  for (const base::Ipv4Address peer : aDuty.m_passTo) {
    copies.push_back({ peer, { shortened, false, {} } });
  }
  m_outbox.SendNews(copies);
}

} // namespace wasabiloom::fleet
