#include "wasabiloom/token/LoadObserver.h"

#include <algorithm>
#include <iterator>

namespace wasabiloom::token {

using registry::ServerRecord;

LoadObserver::LoadObserver(const registry::RegistryCache& aCache,
                           FlowTracker& aFlows,
                           const placing::PassiveHealthCheck& aHealth,
                           placing::LatencyTracker& aLatencies)
  : m_cache(aCache)
  , m_flows(aFlows)
  , m_health(aHealth)
  , m_latencies(aLatencies)
{
}

placing::HostLoad
LoadObserver::Take(base::Instant aNow)
{
  return { TakeRequests(aNow), TakeSamples(aNow) };
}

std::vector<placing::GroupRequests>
LoadObserver::TakeRequests(base::Instant aNow)
{
  std::map<placing::ServerGroup, double> sums;
  for (const AverageRequests& average : m_flows.TakeAverages(aNow)) {
    const ServerRecord* server = m_cache.FindByToken(average.m_token);
    // Requests at a server that takes no flows are no load of the others.
    if (server != nullptr && m_cache.CanAcceptFlow(*server) &&
        aNow >= server->m_coldUntil) {
      sums[{ server->m_server.m_service, server->m_server.m_zone }] +=
        average.m_requests;
    }
  }
  std::vector<placing::GroupRequests> requests;
  requests.reserve(sums.size());
  for (const auto& [group, sum] : sums) {
    requests.push_back({ group, sum });
  }
  std::ranges::sort(
    requests, std::greater{}, &placing::GroupRequests::m_requests);
  requests.resize(std::min(requests.size(), placing::kMaxGroupsPerHost));
  return requests;
}

std::vector<placing::ServerSample>
LoadObserver::TakeSamples(base::Instant aNow)
{
  std::vector<std::uint32_t> failing = m_health.FailingOpenings(aNow);
  std::ranges::sort(failing);
  std::vector<std::uint32_t> recovered;
  std::ranges::set_difference(
    m_reportedFailing, failing, std::back_inserter(recovered));
  std::vector<placing::SampleCount> counts = m_latencies.Counts(aNow);
  std::vector<placing::ServerSample> samples;
  const auto add = [&](std::uint32_t aToken, bool aIsFailing) {
    const auto count =
      std::ranges::find(counts, aToken, &placing::SampleCount::m_token);
    samples.push_back({ aToken,
                        m_latencies.AverageFor(aToken, aNow),
                        count == counts.end() ? 0 : count->m_samples,
                        aIsFailing });
    m_latencies.RestartCount(aToken);
  };
  failing.resize(std::min(failing.size(), kMaxReportedServers));
  recovered.resize(std::min(recovered.size(), kMaxReportedServers));
  for (const std::uint32_t token : recovered) {
    add(token, false);
  }
  for (const std::uint32_t token : failing) {
    add(token, true);
  }
  const std::size_t room =
    kMaxReportedServers - std::min(samples.size(), kMaxReportedServers);
  std::erase_if(counts, [&](const placing::SampleCount& aCount) {
    return std::ranges::find(samples,
                             aCount.m_token,
                             &placing::ServerSample::m_token) != samples.end();
  });
  const auto end =
    counts.begin() + static_cast<std::ptrdiff_t>(std::min(room, counts.size()));
  std::ranges::partial_sort(
    counts, end, std::greater{}, &placing::SampleCount::m_samples);
  for (auto count = counts.begin(); count != end; ++count) {
    samples.push_back({ count->m_token,
                        m_latencies.AverageFor(count->m_token, aNow),
                        count->m_samples,
                        false });
    m_latencies.RestartCount(count->m_token);
  }
  m_reportedFailing = std::move(failing);
  return samples;
}

placing::GroupSlots
LoadObserver::UsableSlots(base::Instant aNow) const
{
  placing::GroupSlots slots;
  m_cache.ServersByService().ForEachList(
    [&](const std::string& aService,
        const std::string& aZone,
        const registry::ServiceIndex::Servers& aServers) {
      std::uint64_t sum = 0;
      for (const ServerRecord* server : aServers) {
        const bool counts =
          m_cache.CanAcceptFlow(*server) && aNow >= server->m_coldUntil;
        sum += counts ? server->m_server.m_slots : 0;
      }
      if (sum > 0) {
        slots[{ aService, aZone }] = sum;
      }
    });
  return slots;
}

} // namespace wasabiloom::token
