#include "wasabiloom/fleet/ProviderDirectory.h"

#include <algorithm>

namespace wasabiloom::fleet {

ProviderDirectoryOutbox::~ProviderDirectoryOutbox() = default;

ProviderDirectory::ProviderDirectory(ProviderDirectoryOutbox& aOutbox)
  : m_outbox(aOutbox)
{
}

void
ProviderDirectory::OnFactsKnown(const Member& aTeller, base::Instant aNow)
{
  Teller& teller = m_tellers[aTeller.m_address];
  teller.m_capacity = std::max<std::uint32_t>(aTeller.m_capacity, 1);
  teller.m_knownAt = aNow;
  m_listers.erase(aTeller.m_address);
  std::erase_if(m_waiting, [&](const Asker& aOne) {
    return aOne.m_member.m_address == aTeller.m_address;
  });
  Tick(aNow);
}

void
ProviderDirectory::OnFactsWanted(const Member& aAsker, base::Instant aNow)
{
  m_tellers.erase(aAsker.m_address);
  if (Lead(aAsker, aNow)) {
    return;
  }
  m_outbox.SendProviders(aAsker.m_address,
                         { {}, ListersBefore(aAsker, aNow), m_waits });
  const auto known =
    std::ranges::find(m_waiting, aAsker.m_address, [](const Asker& aOne) {
      return aOne.m_member.m_address;
    });
  if (known == m_waiting.end()) {
    m_waiting.push_back({ aAsker, aNow });
  } else {
    known->m_since = aNow;
  }
}

std::uint32_t
ProviderDirectory::ListersBefore(const Member& aAsker, base::Instant aNow)
{
  std::erase_if(m_listers, [&](const auto& aOne) {
    return aNow - aOne.second > kAskingLife;
  });
  if (m_listers.contains(aAsker.m_address)) {
    return 0;
  }
  const auto before = static_cast<std::uint32_t>(m_listers.size());
  if (aAsker.m_capacity >= kMinListingCapacity &&
      before < kMaxListersPerDirectory) {
    m_listers[aAsker.m_address] = aNow;
  }
  return before;
}

bool
ProviderDirectory::Lead(const Member& aAsker, base::Instant aNow)
{
  const auto free =
    std::ranges::min_element(m_tellers, {}, [&](const auto& aOne) {
      return std::max(aOne.second.m_busyUntil, aNow);
    });
  if (free == m_tellers.end() ||
      free->second.m_busyUntil > aNow + kTellersQueue) {
    return false;
  }
  Teller& teller = free->second;
  teller.m_busyUntil =
    std::max(teller.m_busyUntil, aNow) +
    std::max(kTellingTime / teller.m_capacity, kLeastTellingTime);
  m_outbox.SendProviders(aAsker.m_address, { { free->first }, 0 });
  return true;
}

void
ProviderDirectory::Tick(base::Instant aNow)
{
  std::erase_if(m_tellers, [&](const auto& aOne) {
    return aNow - aOne.second.m_knownAt > kTellerLife;
  });
  std::erase_if(m_waiting, [&](const Asker& aOne) {
    return aNow - aOne.m_since > kAskingLife;
  });
  while (!m_waiting.empty() && Lead(m_waiting.front().m_member, aNow)) {
    m_waiting.pop_front();
  }
}

} // namespace wasabiloom::fleet
