#include "wasabiloom/fleet/ProviderSearch.h"

#include "wasabiloom/fleet/ProviderDirectory.h"

#include <algorithm>
#include <set>

namespace wasabiloom::fleet {

SearchOutbox::~SearchOutbox() = default;

ProviderSearch::ProviderSearch(std::uint64_t aSeed,
                               const SwimMembership& aRoster,
                               LocalFacts& aFacts,
                               SearchOutbox& aOutbox)
  : m_random(aSeed)
  , m_roster(aRoster)
  , m_facts(aFacts)
  , m_outbox(aOutbox)
{
}

void
ProviderSearch::SetSeedHosts(std::vector<base::Ipv4Address> aFirst)
{
  std::erase(aFirst, m_roster.Self().m_address);
  m_first = std::move(aFirst);
}

void
ProviderSearch::Begin(base::Instant aNow)
{
  m_begunAt = aNow;
  m_searching = true;
  const bool isCapable = m_roster.Self().m_capacity >= kMinListingCapacity;
  const base::Duration wait = m_first.empty() ? base::Duration::zero()
                              : isCapable
                                ? Draw(base::Duration::zero(), kListSoon)
                                : Draw(kListLateFrom, kListLateTo);
  Hold(aNow + wait);
  Ask(aNow);
}

void
ProviderSearch::Tick(bool aIsCutOff, base::Instant aNow)
{
  if (m_facts.IsReady() && !aIsCutOff) {
    Finish(aNow);
    SayAgain(aNow);
    CollectKept(aNow);
    return;
  }
  m_searching = true;
  if (m_pullingSince && aNow - *m_pullingSince > kTellerTimeout) {
    m_pullingSince.reset();
  }
  if (!m_pullingSince && aNow - m_askedAt >= AskPause(aNow)) {
    Ask(aNow);
  }
}

void
ProviderSearch::CollectKept(base::Instant aNow)
{
  m_collecting = m_facts.LacksKeptFacts(aNow);
  if (m_pullingSince && aNow - *m_pullingSince > kTellerTimeout) {
    m_pullingSince.reset();
  }
  if (m_collecting && !m_pullingSince && aNow - m_askedAt >= kAskPauseLate) {
    Ask(aNow);
  }
}

base::Duration
ProviderSearch::AskPause(base::Instant aNow) const
{
  if (aNow - m_begunAt > kStartSpan) {
    return kAskPauseLate;
  }
  return m_noted ? kAskPauseNoted : kAskPause;
}

void
ProviderSearch::Finish(base::Instant aNow)
{
  if (!m_searching) {
    return;
  }
  m_searching = false;
  m_pullingSince.reset();
  m_saidAt = aNow;
  for (const base::Ipv4Address board : Boards()) {
    m_outbox.SendContent(board, FactsKnown{});
  }
}

void
ProviderSearch::SayAgain(base::Instant aNow)
{
  if (aNow - m_begunAt > kStartSpan || aNow - m_saidAt < kSayPause) {
    return;
  }
  m_saidAt = aNow;
  for (const base::Ipv4Address board : m_first) {
    // A seed host that starts after this host knows of no provider yet.
    if (!m_roster.Find(board)) {
      m_outbox.SendContent(board, FactsKnown{});
    }
  }
}

void
ProviderSearch::Hold(base::Instant aUntil)
{
  m_heldUntil = std::max(m_heldUntil, aUntil);
  m_facts.HoldListing(m_heldUntil);
}

void
ProviderSearch::Ask(base::Instant aNow)
{
  m_askedAt = aNow;
  m_noted = false;
  for (const base::Ipv4Address board : Boards()) {
    m_outbox.SendContent(board, FactsWanted{});
  }
}

std::vector<base::Ipv4Address>
ProviderSearch::Boards()
{
  std::set<base::Ipv4Address> boards(m_first.begin(), m_first.end());
  std::vector<base::Ipv4Address> members;
  for (const auto& [zone, live] : m_roster.LiveByZone()) {
    std::ranges::transform(
      live, std::back_inserter(members), &Member::m_address);
  }
  std::vector<base::Ipv4Address> others;
  std::ranges::sample(
    members, std::back_inserter(others), kOthersAsked, m_random);
  boards.insert(others.begin(), others.end());
  return { boards.begin(), boards.end() };
}

void
ProviderSearch::OnProviders(const Providers& aProviders, base::Instant aNow)
{
  if (!m_searching && !m_collecting) {
    return;
  }
  m_noted = true;
  if (aProviders.m_awaitsConfiguration) {
    Hold(aNow + kWaitsForOthers);
  } else if (aProviders.m_listersBefore >= kMaxListersPerDirectory &&
             !m_facts.IsReady()) {
    Hold(m_begunAt + Draw(kListLateFrom, kListLateTo));
  }
  const auto provider = std::ranges::find_if(
    aProviders.m_addresses, [this](const base::Ipv4Address& aAddress) {
      return aAddress != m_roster.Self().m_address;
    });
  if (provider != aProviders.m_addresses.end() && !m_pullingSince) {
    m_pullingSince = aNow;
    m_outbox.PullInitialFacts(*provider, m_facts.PullFrom(aNow));
  }
}

void
ProviderSearch::OnPullFailed(base::Instant aNow)
{
  m_pullingSince.reset();
  if (m_searching && aNow - m_askedAt >= kAskPause) {
    Ask(aNow);
  }
}

base::Duration
ProviderSearch::Draw(base::Duration aFrom, base::Duration aTo)
{
  std::uniform_int_distribution<base::Duration::rep> span(aFrom.count(),
                                                          aTo.count());
  return base::Duration(span(m_random));
}

} // namespace wasabiloom::fleet
