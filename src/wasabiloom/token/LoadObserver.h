/// Observations of this host for its load reports.
#pragma once

#include "wasabiloom/placing/LatencyTracker.h"
#include "wasabiloom/placing/LoadTable.h"
#include "wasabiloom/placing/PassiveHealthCheck.h"
#include "wasabiloom/registry/RegistryCache.h"
#include "wasabiloom/token/FlowTracker.h"

#include <vector>

namespace wasabiloom::token {

/// Number of servers of which one report holds the response times.
constexpr std::size_t kMaxReportedServers = 4;

/// Collects what this host observed of servers. Not thread safe.
class LoadObserver
{
public:
  /// The references must outlive this object.
  LoadObserver(const registry::RegistryCache& aCache,
               FlowTracker& aFlows,
               const placing::PassiveHealthCheck& aHealth,
               placing::LatencyTracker& aLatencies);

  /// Returns what this host observed since the last call: average requests at
  /// the servers that count in UsableSlots, and the most significant servers:
  /// first those whose state of failure has changed or holds, then those with
  /// the most responses since they were last reported.
  placing::HostLoad Take(base::Instant aNow);

  /// Returns the slots of the warm servers that can accept new flows, by
  /// service and zone. Passes over all servers.
  placing::GroupSlots UsableSlots(base::Instant aNow) const;

private:
  std::vector<placing::GroupRequests> TakeRequests(base::Instant aNow);
  std::vector<placing::ServerSample> TakeSamples(base::Instant aNow);

  const registry::RegistryCache& m_cache;
  FlowTracker& m_flows;
  const placing::PassiveHealthCheck& m_health;
  placing::LatencyTracker& m_latencies;
  /// Servers that the last report called failing, in ascending order.
  std::vector<std::uint32_t> m_reportedFailing;
};

} // namespace wasabiloom::token
