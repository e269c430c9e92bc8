/// Runs the decisions that follow the load of whole zones, for the services
/// whose flows this host places.
#pragma once

#include "wasabiloom/placing/AdmissionControl.h"
#include "wasabiloom/placing/SharedLoad.h"
#include "wasabiloom/placing/ZoneBalance.h"
#include "wasabiloom/registry/RegistryCache.h"
#include "wasabiloom/token/TokenEffects.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiloom::token {

/// Decisions under load that are switched on.
struct LoadFeatures
{
  /// New flows may go to other zones when the host's own zone is full.
  bool m_zoneBalance = false;
  /// Less urgent new flows are refused when all zones are full.
  bool m_admission = false;
  /// Servers that start, return or recover get a growing share of new flows.
  bool m_slowStart = false;

  friend auto operator<=>(const LoadFeatures&, const LoadFeatures&) = default;
};

/// Time after the last new flow of a service for which its load is followed.
constexpr base::Duration kServiceLife = std::chrono::seconds(30);

/// Interval at which the slots of a service's servers are counted.
constexpr base::Duration kSlotCountInterval = std::chrono::seconds(1);

/// Change of a zone's share of new flows that is logged.
constexpr double kLoggedShareChange = 0.05;

/// Change of a service's admission level that is logged.
constexpr double kLoggedLevelChange = 0.1;

/// Decides for each service with recent traffic where its new flows go. Costs
/// nothing while all features are off. Not thread safe.
class LoadControl
{
public:
  using ZoneTest = std::function<bool(std::string_view)>;

  /// The references must outlive this object.
  LoadControl(const LoadFeatures& aFeatures,
              std::string aOwnZone,
              const registry::RegistryCache& aCache,
              const placing::SharedLoad& aSharedLoad);

  /// Returns the zone to which the new flow of `aService` with hash `aHash`
  /// spills over; empty if it is placed as without spillover.
  std::string_view ZoneFor(std::string_view aService,
                           std::uint64_t aHash,
                           base::Instant aNow);

  /// Whether a new flow of `aService` and `aClass` with hash `aHash` is
  /// admitted. It must not have been delivered to a server before.
  bool Admits(std::string_view aService,
              const placing::FlowClass& aClass,
              std::uint64_t aHash,
              base::Instant aNow);

  /// Returns what an admitted flow may claim.
  placing::Urgency UrgencyOf(std::string_view aService,
                             const placing::FlowClass& aClass) const;

  /// Whether the server `aToken` of `aService` gets no new ordinary flows.
  bool IsReserved(std::string_view aService, std::uint32_t aToken) const;

  /// Decides anew if kLoadStepInterval has passed. `aIsSuspect` tells whether a
  /// zone is suspect.
  void Tick(const ZoneTest& aIsSuspect,
            TokenEffects& aEffects,
            base::Instant aNow);

  /// Returns the largest share of a service's new flows that go to other zones.
  double LargestSpill() const;

  /// Returns the highest admission level of a service.
  double HighestLevel() const;

private:
  struct Zone
  {
    double m_slots = 0;
    double m_loggedShare = 0;
  };

  struct Service
  {
    base::Instant m_flowAt;
    base::Instant m_countedAt;
    std::map<std::string, Zone, std::less<>> m_zones;
    placing::ZoneBalance m_balance;
    placing::AdmissionControl m_admission;
    double m_loggedLevel = 0;
  };

  Service& Follow(std::string_view aService, base::Instant aNow);
  void ReadClasses();
  void CountSlots(std::string_view aName,
                  Service& aService,
                  base::Instant aNow) const;
  placing::ZoneState StateOf(std::string_view aService,
                             const std::string& aZone,
                             double aSlots,
                             const ZoneTest& aIsSuspect,
                             base::Instant aNow) const;
  void Step(std::string_view aName,
            Service& aService,
            const ZoneTest& aIsSuspect,
            TokenEffects& aEffects,
            base::Instant aNow);
  void StepAdmission(std::string_view aName,
                     Service& aService,
                     const placing::ZoneState& aOwn,
                     TokenEffects& aEffects);
  std::optional<placing::ZoneLoad> MeanLoad(
    const placing::ZoneState& aOwn) const;
  static void LogShares(std::string_view aName,
                        Service& aService,
                        TokenEffects& aEffects);

  LoadFeatures m_features;
  std::string m_ownZone;
  const registry::RegistryCache& m_cache;
  const placing::SharedLoad& m_sharedLoad;
  std::map<std::string, Service, std::less<>> m_services;
  /// Classes of each service's routes in the version m_classesVersion,
  /// ascending.
  std::map<std::string, std::vector<placing::FlowClass>, std::less<>> m_classes;
  std::uint64_t m_classesVersion = 0;
  base::Instant m_steppedAt;
  /// Buffer that is reused for each step.
  std::vector<placing::ZoneState> m_others;
};

} // namespace wasabiloom::token
