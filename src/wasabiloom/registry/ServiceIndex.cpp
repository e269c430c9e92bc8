#include "wasabiloom/registry/ServiceIndex.h"

#include "wasabiloom/base/Hash.h"

#include <algorithm>
#include <numeric>

namespace wasabiloom::registry {

namespace {

/// Calls `aTake` with `aCount` distinct numbers below `aOf`, or with all of
/// them if `aOf` is smaller. `aHash` determines the numbers and their order.
template<typename Take>
void
DrawNumbers(std::size_t aCount,
            std::size_t aOf,
            std::uint64_t aHash,
            const Take& aTake)
{
  if (aOf == 0) {
    return;
  }
  // A step that is coprime to `aOf` visits each number once.
  std::size_t step = 1 + base::Mix(aHash + 1) % aOf;
  while (std::gcd(step, aOf) != 1) {
    ++step;
  }
  std::size_t number = base::Mix(aHash) % aOf;
  for (std::size_t i = 0; i < std::min(aCount, aOf); ++i) {
    aTake(number);
    number = (number + step) % aOf;
  }
}

} // namespace

void
ServiceIndex::Add(const std::string& aService,
                  const std::string& aZone,
                  const ServerRecord& aServer)
{
  Servers& list = m_lists[aService][aZone];
  const auto known = m_places.find(&aServer);
  if (known != m_places.end() && known->second.m_list == &list) {
    return;
  }
  Remove(aServer);
  m_places[&aServer] = { &list, list.size() };
  list.push_back(&aServer);
}

void
ServiceIndex::Remove(const ServerRecord& aServer)
{
  const auto known = m_places.find(&aServer);
  if (known == m_places.end()) {
    return;
  }
  const Place place = known->second;
  m_places.erase(known);
  const ServerRecord* last = place.m_list->back();
  place.m_list->pop_back();
  if (last != &aServer) {
    (*place.m_list)[place.m_position] = last;
    m_places[last].m_position = place.m_position;
  }
}

ServiceIndex::Servers
ServiceIndex::All(std::string_view aService) const
{
  Servers all;
  ForEachZone(aService, [&](const std::string&, const Servers& aServers) {
    all.insert(all.end(), aServers.begin(), aServers.end());
  });
  return all;
}

void
ServiceIndex::ForEachZone(
  std::string_view aService,
  const std::function<void(const std::string&, const Servers&)>& aVisit) const
{
  const auto found = m_lists.find(aService);
  if (found == m_lists.end()) {
    return;
  }
  for (const auto& [zone, servers] : found->second) {
    aVisit(zone, servers);
  }
}

bool
ServiceIndex::HasInZone(
  std::string_view aZone,
  const std::function<bool(const ServerRecord&)>& aAccepts) const
{
  return std::ranges::any_of(m_lists, [&](const auto& aService) {
    const auto servers = aService.second.find(aZone);
    return servers != aService.second.end() &&
           std::ranges::any_of(
             servers->second,
             [&](const ServerRecord* aServer) { return aAccepts(*aServer); });
  });
}

void
ServiceIndex::ForEachList(
  const std::function<
    void(const std::string&, const std::string&, const Servers&)>& aVisit) const
{
  for (const auto& [service, zones] : m_lists) {
    for (const auto& [zone, servers] : zones) {
      aVisit(service, zone, servers);
    }
  }
}

void
ServiceIndex::Sample(std::string_view aService,
                     std::string_view aZone,
                     const SampleSize& aSize,
                     std::uint64_t aHash,
                     Servers& aDrawn) const
{
  aDrawn.clear();
  const auto found = m_lists.find(aService);
  if (found == m_lists.end()) {
    return;
  }
  const Zones& zones = found->second;
  std::size_t far = 0;
  for (const auto& [zone, servers] : zones) {
    far += zone == aZone ? 0 : servers.size();
  }
  const auto near = zones.find(aZone);
  if (near != zones.end()) {
    const std::size_t left =
      aSize.m_totalCount - std::min(far, aSize.m_totalCount);
    const std::size_t count = std::max(aSize.m_localZoneCount, left);
    DrawNumbers(count, near->second.size(), aHash, [&](std::size_t aNumber) {
      aDrawn.push_back(near->second[aNumber]);
    });
  }
  const std::size_t left =
    aSize.m_totalCount - std::min(aDrawn.size(), aSize.m_totalCount);
  DrawNumbers(left, far, ~aHash, [&](std::size_t aNumber) {
    for (const auto& [zone, servers] : zones) {
      if (zone == aZone) {
        continue;
      }
      if (aNumber < servers.size()) {
        aDrawn.push_back(servers[aNumber]);
        return;
      }
      aNumber -= servers.size();
    }
  });
}

void
ServiceIndex::SampleZone(std::string_view aService,
                         std::string_view aZone,
                         std::size_t aCount,
                         std::uint64_t aHash,
                         Servers& aDrawn) const
{
  aDrawn.clear();
  const auto found = m_lists.find(aService);
  if (found == m_lists.end()) {
    return;
  }
  const auto servers = found->second.find(aZone);
  if (servers == found->second.end()) {
    return;
  }
  DrawNumbers(aCount, servers->second.size(), aHash, [&](std::size_t aNumber) {
    aDrawn.push_back(servers->second[aNumber]);
  });
}

} // namespace wasabiloom::registry
