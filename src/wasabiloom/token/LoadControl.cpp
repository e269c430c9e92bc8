#include "wasabiloom/token/LoadControl.h"

#include <algorithm>
#include <cmath>

namespace wasabiloom::token {

namespace {

constexpr double kPercent = 100;

std::string
Percent(double aShare)
{
  return std::to_string(std::lround(aShare * kPercent));
}

} // namespace

LoadControl::LoadControl(const LoadFeatures& aFeatures,
                         std::string aOwnZone,
                         const registry::RegistryCache& aCache,
                         const placing::SharedLoad& aSharedLoad)
  : m_features(aFeatures)
  , m_ownZone(std::move(aOwnZone))
  , m_cache(aCache)
  , m_sharedLoad(aSharedLoad)
{
}

std::string_view
LoadControl::ZoneFor(std::string_view aService,
                     std::uint64_t aHash,
                     base::Instant aNow)
{
  if (!m_features.m_zoneBalance) {
    return {};
  }
  auto known = m_services.find(aService);
  if (known == m_services.end()) {
    known = m_services.emplace(aService, Service{}).first;
  }
  known->second.m_flowAt = aNow;
  return known->second.m_balance.ZoneFor(aHash);
}

void
LoadControl::Tick(const ServerTest& aCanAccept,
                  const ZoneTest& aIsSuspect,
                  TokenEffects& aEffects,
                  base::Instant aNow)
{
  if (aNow - m_steppedAt < placing::kBalanceInterval) {
    return;
  }
  m_steppedAt = aNow;
  std::erase_if(m_services, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_flowAt > kServiceLife;
  });
  for (auto& [name, service] : m_services) {
    if (aNow - service.m_countedAt >= kSlotCountInterval) {
      CountSlots(name, service, aCanAccept, aNow);
    }
    Step(name, service, aIsSuspect, aNow);
    LogShares(name, service, aEffects);
  }
}

void
LoadControl::CountSlots(std::string_view aName,
                        Service& aService,
                        const ServerTest& aCanAccept,
                        base::Instant aNow) const
{
  aService.m_countedAt = aNow;
  for (auto& [zone, state] : aService.m_zones) {
    state.m_slots = 0;
  }
  m_cache.ServersByService().ForEachZone(
    aName, [&](const std::string& aZone, const auto& aServers) {
      double& slots = aService.m_zones[aZone].m_slots;
      for (const registry::ServerRecord* server : aServers) {
        slots += aCanAccept(*server) ? server->m_server.m_slots : 0;
      }
    });
}

placing::ZoneState
LoadControl::StateOf(std::string_view aService,
                     const std::string& aZone,
                     double aSlots,
                     const ZoneTest& aIsSuspect,
                     base::Instant aNow) const
{
  const bool isUsable = !m_cache.ZoneOutSince(aZone) && !aIsSuspect(aZone);
  return {
    aZone, aSlots, isUsable, m_sharedLoad.LoadOfZone(aService, aZone, aNow)
  };
}

void
LoadControl::Step(std::string_view aName,
                  Service& aService,
                  const ZoneTest& aIsSuspect,
                  base::Instant aNow)
{
  placing::ZoneState own{ m_ownZone, 0, true, std::nullopt };
  m_others.clear();
  for (const auto& [zone, state] : aService.m_zones) {
    const auto current = StateOf(aName, zone, state.m_slots, aIsSuspect, aNow);
    if (zone == m_ownZone) {
      own = current;
    } else {
      m_others.push_back(current);
    }
  }
  aService.m_balance.Step(own, m_others);
}

void
LoadControl::LogShares(std::string_view aName,
                       Service& aService,
                       TokenEffects& aEffects)
{
  for (auto& [zone, state] : aService.m_zones) {
    const double share = aService.m_balance.ShareOf(zone);
    const bool isEnd = share == 0 && state.m_loggedShare > 0;
    if (!isEnd && std::abs(share - state.m_loggedShare) < kLoggedShareChange) {
      continue;
    }
    aEffects.LogStateChange("zone_share",
                            "service=" + std::string(aName) + " zone=" + zone +
                              " percent=" + Percent(share) +
                              " before=" + Percent(state.m_loggedShare));
    state.m_loggedShare = share;
  }
}

double
LoadControl::LargestSpill() const
{
  double largest = 0;
  for (const auto& [name, service] : m_services) {
    largest = std::max(largest, service.m_balance.TotalShare());
  }
  return largest;
}

} // namespace wasabiloom::token
