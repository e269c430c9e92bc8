#include "wasabiloom/token/LoadControl.h"

#include <algorithm>
#include <cmath>
#include <set>

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
  return Follow(aService, aNow).m_balance.ZoneFor(aHash);
}

LoadControl::Service&
LoadControl::Follow(std::string_view aService, base::Instant aNow)
{
  auto known = m_services.find(aService);
  if (known == m_services.end()) {
    known = m_services.emplace(aService, Service{}).first;
  }
  known->second.m_flowAt = aNow;
  return known->second;
}

bool
LoadControl::Admits(std::string_view aService,
                    const placing::FlowClass& aClass,
                    std::uint64_t aHash,
                    base::Instant aNow)
{
  if (!m_features.m_admission) {
    return true;
  }
  placing::AdmissionControl& admission = Follow(aService, aNow).m_admission;
  if (!admission.Admits(aClass, aHash)) {
    return false;
  }
  admission.CountFlow(aClass);
  return true;
}

placing::Urgency
LoadControl::UrgencyOf(std::string_view aService,
                       const placing::FlowClass& aClass) const
{
  const auto known = m_services.find(aService);
  return known == m_services.end()
           ? placing::Urgency::Equal
           : known->second.m_admission.UrgencyOf(aClass);
}

bool
LoadControl::IsReserved(std::string_view aService, std::uint32_t aToken) const
{
  const auto known = m_services.find(aService);
  return known != m_services.end() &&
         known->second.m_admission.IsReserved(aToken);
}

void
LoadControl::ReadClasses()
{
  const std::uint64_t version = m_cache.CurrentGlobal().m_version;
  if (!m_features.m_admission || version == m_classesVersion) {
    return;
  }
  m_classesVersion = version;
  std::map<std::string, std::set<placing::FlowClass>> classes;
  for (const registry::Route& route : m_cache.CurrentConfiguration().m_routes) {
    for (const registry::ServiceShare& share : route.m_shares) {
      classes[share.m_service].insert(
        { route.m_priority, route.m_isIdempotent });
    }
  }
  m_classes.clear();
  for (const auto& [service, found] : classes) {
    m_classes[service].assign(found.begin(), found.end());
  }
}

void
LoadControl::Tick(const ZoneTest& aIsSuspect,
                  TokenEffects& aEffects,
                  base::Instant aNow)
{
  if (aNow - m_steppedAt < placing::kLoadStepInterval) {
    return;
  }
  m_steppedAt = aNow;
  ReadClasses();
  std::erase_if(m_services, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_flowAt > kServiceLife;
  });
  for (auto& [name, service] : m_services) {
    if (aNow - service.m_countedAt >= kSlotCountInterval) {
      CountSlots(name, service, aNow);
    }
    Step(name, service, aIsSuspect, aEffects, aNow);
  }
}

void
LoadControl::CountSlots(std::string_view aName,
                        Service& aService,
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
        slots += m_cache.CanAcceptFlow(*server) ? server->m_server.m_slots : 0;
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
                  TokenEffects& aEffects,
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
  if (m_features.m_zoneBalance) {
    aService.m_balance.Step(own, m_others);
    LogShares(aName, aService, aEffects);
  }
  if (m_features.m_admission) {
    StepAdmission(aName, aService, own, aEffects);
  }
}

void
LoadControl::StepAdmission(std::string_view aName,
                           Service& aService,
                           const placing::ZoneState& aOwn,
                           TokenEffects& aEffects)
{
  const auto classes = m_classes.find(aName);
  const auto load = MeanLoad(aOwn);
  aService.m_admission.Step(load,
                            classes == m_classes.end()
                              ? std::span<const placing::FlowClass>{}
                              : std::span(classes->second));
  const double level = aService.m_admission.Level();
  const double before = aService.m_loggedLevel;
  const bool isTurn = (level == 0) != (before == 0);
  if (!isTurn && std::abs(level - before) < kLoggedLevelChange) {
    return;
  }
  aEffects.LogStateChange(
    "admission",
    "service=" + std::string(aName) + " level_percent=" + Percent(level) +
      " before=" + Percent(before) + " load_percent=" +
      (load ? Percent(load->m_requestsPerSlot) : std::string("unknown")));
  aService.m_loggedLevel = level;
}

std::optional<placing::ZoneLoad>
LoadControl::MeanLoad(const placing::ZoneState& aOwn) const
{
  placing::ZoneLoad mean;
  double slots = 0;
  const auto add = [&](const placing::ZoneState& aZone) {
    const bool counts = aZone.m_isUsable && aZone.m_load &&
                        aZone.m_load->m_age <= placing::kMaxEstimateAge;
    if (counts) {
      mean.m_requestsPerSlot += aZone.m_load->m_requestsPerSlot * aZone.m_slots;
      mean.m_age = std::max(mean.m_age, aZone.m_load->m_age);
      slots += aZone.m_slots;
    }
  };
  add(aOwn);
  std::ranges::for_each(m_others, add);
  if (slots <= 0) {
    return std::nullopt;
  }
  mean.m_requestsPerSlot /= slots;
  return mean;
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

double
LoadControl::HighestLevel() const
{
  double highest = 0;
  for (const auto& [name, service] : m_services) {
    highest = std::max(highest, service.m_admission.Level());
  }
  return highest;
}

} // namespace wasabiloom::token
