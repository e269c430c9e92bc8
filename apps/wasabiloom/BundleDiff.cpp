#include "BundleDiff.h"

#include <algorithm>

namespace wasabiloom::cli {

namespace {

using bundle::Service;
using bundle::Target;
using bundle::Zone;

std::string
Describe(const Zone& aZone)
{
  const bool in = aZone.m_state == bundle::ZoneState::In;
  return "zone " + aZone.m_name + (in ? " in" : " out");
}

std::string
Describe(const Target& aTarget)
{
  const bool active = aTarget.m_state == bundle::TargetState::Active;
  return "backend server " + aTarget.m_name + " at " +
         ToString(aTarget.m_endpoint) + " zone " + aTarget.m_zone + " weight " +
         std::to_string(aTarget.m_weight) + " slots " +
         std::to_string(aTarget.m_slots) + " max_flows " +
         std::to_string(aTarget.m_maxFlows) +
         (active ? " active" : " draining");
}

std::string
Describe(const Service& aService)
{
  const bool flows = aService.m_mode == bundle::ServiceMode::Connections;
  return "service " + aService.m_name + " at " +
         ToString(aService.m_address.m_endpoint) +
         (flows ? " connections" : " requests");
}

/// Compares two lists of named values by their descriptions.
template<typename T>
void
Compare(const std::vector<T>& aBefore,
        const std::vector<T>& aAfter,
        const std::string& aIndent,
        std::vector<std::string>& aLines)
{
  for (const T& item : aBefore) {
    if (std::ranges::find(aAfter, item.m_name, &T::m_name) == aAfter.end()) {
      aLines.push_back(aIndent + "- " + Describe(item));
    }
  }
  for (const T& item : aAfter) {
    const auto old = std::ranges::find(aBefore, item.m_name, &T::m_name);
    if (old == aBefore.end()) {
      aLines.push_back(aIndent + "+ " + Describe(item));
    } else if (Describe(*old) != Describe(item)) {
      aLines.push_back(aIndent + "~ " + Describe(*old) + " -> " +
                       Describe(item));
    }
  }
}

} // namespace

std::vector<std::string>
Differences(const bundle::Bundle& aBefore, const bundle::Bundle& aAfter)
{
  std::vector<std::string> lines;
  if (aBefore.m_version != aAfter.m_version) {
    lines.push_back("~ version " + std::to_string(aBefore.m_version) + " -> " +
                    std::to_string(aAfter.m_version));
  }
  Compare(aBefore.m_zones, aAfter.m_zones, "", lines);
  Compare(aBefore.m_services, aAfter.m_services, "", lines);
  for (const Service& service : aAfter.m_services) {
    const auto old =
      std::ranges::find(aBefore.m_services, service.m_name, &Service::m_name);
    const std::vector<Target> none;
    const auto& before =
      old == aBefore.m_services.end() ? none : old->m_targets;
    Compare(before, service.m_targets, service.m_name + ": ", lines);
  }
  return lines;
}

} // namespace wasabiloom::cli
