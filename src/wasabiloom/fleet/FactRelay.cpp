#include "wasabiloom/fleet/FactRelay.h"

#include "wasabiloom/registry/FactsCodec.h"

#include <algorithm>

namespace wasabiloom::fleet {

RelayOutbox::~RelayOutbox() = default;

FactRelay::FactRelay(const RelayTiming& aTiming,
                     const Roster& aRoster,
                     FactPool& aFacts,
                     RelayOutbox& aOutbox)
  : m_timing(aTiming)
  , m_roster(aRoster)
  , m_facts(aFacts)
  , m_outbox(aOutbox)
{
}

bool
FactRelay::IsReader() const
{
  return !m_leaving && m_roster.RankInZone() < kReadersAZone;
}

base::Duration
FactRelay::Patience() const
{
  if (IsReader()) {
    return base::Duration::zero();
  }
  const std::size_t rank = std::min(m_roster.RankInZone(), kStaggered);
  return m_timing.m_patience + rank * m_timing.m_stagger;
}

void
FactRelay::Tick(base::Instant aNow)
{
  m_facts.SetPatience(Patience());
  if (m_facts.AnsweredAt() <= m_toldAt) {
    return;
  }
  auto news = m_facts.NewsSince(m_toldBefore, aNow);
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
  if (registry::EncodeNews(*news).size() > kMaxNewsBytes) {
    news->m_facts.clear();
    news->m_from = news->m_to;
  }
  m_toldBefore = m_toldLast;
  m_toldLast = news->m_to;
  m_outbox.SendNews(m_roster.ZonePeers(), *news);
}

void
FactRelay::OnNews(base::Ipv4Address aFrom,
                  const registry::News& aNews,
                  base::Instant aNow)
{
  if (m_facts.OnNews(aNews, aNow) == registry::NewsOutcome::Gap) {
    m_outbox.Pull(aFrom, m_facts.Revision());
  }
}

} // namespace wasabiloom::fleet
