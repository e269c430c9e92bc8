#include "wasabiloom/placing/LoadTable.h"

#include <algorithm>
#include <cmath>

namespace wasabiloom::placing {

namespace {

/// Reports of one host that differ by less in age may be the same one, which
/// was delayed differently on its ways here.
constexpr base::Duration kSameReport = std::chrono::milliseconds(50);

bool
IsRecent(base::Instant aAt, base::Instant aNow)
{
  return aNow - aAt < kReportLife;
}

bool
IsValid(const std::string& aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes;
}

bool
IsValid(const ServerGroup& aGroup)
{
  return IsValid(aGroup.m_service) && IsValid(aGroup.m_zone);
}

bool
IsValid(double aRequests)
{
  return std::isfinite(aRequests) && aRequests >= 0 &&
         aRequests <= kMaxRequests;
}

bool
IsValid(const std::vector<GroupRequests>& aRequests)
{
  return aRequests.size() <= kMaxGroupsPerHost &&
         std::ranges::all_of(aRequests, [](const GroupRequests& aGroup) {
           return IsValid(aGroup.m_group) && IsValid(aGroup.m_requests);
         });
}

bool
IsValid(base::Duration aAge)
{
  return aAge >= base::Duration::zero() && aAge < kReportLife;
}

/// Whether report `aSequence` of the start `aIncarnation` follows the other.
bool
IsNewer(const Reporter& aFrom,
        std::uint64_t aIncarnation,
        std::uint32_t aSequence)
{
  return aFrom.m_incarnation != aIncarnation
           ? aFrom.m_incarnation > aIncarnation
           : aFrom.m_sequence > aSequence;
}

} // namespace

LoadTable::LoadTable(std::string aOwnZone)
  : m_ownZone(std::move(aOwnZone))
{
}

std::optional<ZoneLoad>
LoadTable::LoadOfZone(std::string_view aService,
                      std::string_view aZone,
                      base::Instant aNow) const
{
  const auto zones = m_estimates.find(aService);
  if (zones == m_estimates.end()) {
    return std::nullopt;
  }
  const auto found = zones->second.find(aZone);
  if (found == zones->second.end() || !IsRecent(found->second.m_at, aNow)) {
    return std::nullopt;
  }
  return ZoneLoad{ found->second.m_requestsPerSlot, aNow - found->second.m_at };
}

std::optional<ServerObservation>
LoadTable::ObservationOf(std::uint32_t aToken, base::Instant aNow) const
{
  const auto found = m_observed.find(aToken);
  if (found == m_observed.end()) {
    return std::nullopt;
  }
  ServerObservation merged;
  double nanoseconds = 0;
  bool isKnown = false;
  for (const Observation& one : found->second) {
    if (!IsRecent(one.m_at, aNow)) {
      continue;
    }
    isKnown = true;
    merged.m_failingHosts += one.m_isFailing ? 1 : 0;
    if (one.m_latency > base::Duration::zero()) {
      merged.m_responses += one.m_responses;
      nanoseconds += static_cast<double>(one.m_latency.count()) *
                     static_cast<double>(one.m_responses);
    }
  }
  if (!isKnown) {
    return std::nullopt;
  }
  if (merged.m_responses > 0) {
    merged.m_latency = base::Duration(
      static_cast<base::Duration::rep>(nanoseconds / merged.m_responses));
  }
  return merged;
}

void
LoadTable::NotePause(base::Instant aNow)
{
  const bool isFirst = m_ranAt == base::Instant{};
  if (!isFirst && aNow - m_ranAt > kTablePause) {
    m_pausedUntil = aNow + kDrainTime;
    m_reports.clear();
    m_means.clear();
    m_meanCount = 0;
    m_observed.clear();
    m_estimates.clear();
  }
  m_ranAt = aNow;
}

bool
LoadTable::Merge(const Reporter& aFrom,
                 const HostLoad& aLoad,
                 const LearnedLoad& aLearned,
                 base::Instant aNow)
{
  NotePause(aNow);
  if (aNow < m_pausedUntil || !IsValid(aFrom.m_zone) ||
      !IsValid(aLoad.m_requests) ||
      aLoad.m_servers.size() > kMaxServersPerReport ||
      aLearned.m_hosts.size() > kMaxForwardedLoads ||
      aLearned.m_zones.size() > kMaxZoneRequests) {
    return false;
  }
  const auto known = m_reports.find(aFrom.m_address.m_bits);
  const bool isFirst = known == m_reports.end();
  if (!isFirst &&
      !IsNewer(aFrom, known->second.m_incarnation, known->second.m_sequence)) {
    return false;
  }
  if (!isFirst || m_reports.size() < kMaxReporters) {
    m_reports[aFrom.m_address.m_bits] = { aFrom.m_zone,
                                          aFrom.m_incarnation,
                                          aFrom.m_sequence,
                                          aNow,
                                          aLoad.m_requests };
  }
  MergeServers(aFrom.m_address, aLoad.m_servers, aNow);
  for (const ForwardedLoad& load : aLearned.m_hosts) {
    MergeForwarded(aFrom.m_zone, load, aNow);
  }
  for (const ZoneRequests& mean : aLearned.m_zones) {
    MergeMean(mean, aNow);
  }
  return true;
}

void
LoadTable::MergeServers(base::Ipv4Address aHost,
                        const std::vector<ServerSample>& aServers,
                        base::Instant aNow)
{
  for (const ServerSample& sample : aServers) {
    auto known = m_observed.find(sample.m_token);
    if (known == m_observed.end()) {
      if (m_observed.size() >= kMaxObservedServers) {
        continue;
      }
      known = m_observed.emplace(sample.m_token, Observations{}).first;
    }
    Observations& all = known->second;
    auto place = std::ranges::find_if(all, [&](const Observation& aOne) {
      return aOne.m_host == aHost && aOne.m_at != base::Instant{};
    });
    if (place == all.end()) {
      place = std::ranges::min_element(all, {}, &Observation::m_at);
    }
    *place = { aHost,
               aNow,
               std::clamp(
                 sample.m_latency, base::Duration::zero(), kMaxReportedLatency),
               sample.m_responses,
               sample.m_isFailing };
  }
}

void
LoadTable::MergeForwarded(const std::string& aZone,
                          const ForwardedLoad& aLoad,
                          base::Instant aNow)
{
  if (!IsValid(aLoad.m_age) || !IsValid(aLoad.m_requests)) {
    return;
  }
  const base::Instant at = aNow - aLoad.m_age;
  const auto known = m_reports.find(aLoad.m_host.m_bits);
  if (known == m_reports.end()) {
    if (m_reports.size() < kMaxReporters) {
      m_reports[aLoad.m_host.m_bits] = { aZone, 0, 0, at, aLoad.m_requests };
    }
    return;
  }
  Report& report = known->second;
  if (report.m_zone == aZone && at > report.m_at + kSameReport) {
    report.m_at = at;
    report.m_requests = aLoad.m_requests;
  }
}

void
LoadTable::MergeMean(const ZoneRequests& aMean, base::Instant aNow)
{
  if (!IsValid(aMean.m_age) || !IsValid(aMean.m_sourceZone) ||
      !IsValid(aMean.m_group) || !IsValid(aMean.m_requestsPerHost) ||
      aMean.m_sourceZone == m_ownZone) {
    return;
  }
  const base::Instant at = aNow - aMean.m_age;
  const auto zone = m_means.find(aMean.m_sourceZone);
  const bool isKnown =
    zone != m_means.end() && zone->second.contains(aMean.m_group);
  if (!isKnown && m_meanCount >= kMaxZoneMeans) {
    return;
  }
  m_meanCount += isKnown ? 0 : 1;
  Mean& mean = m_means[aMean.m_sourceZone][aMean.m_group];
  if (at > mean.m_at) {
    mean = { aMean.m_requestsPerHost,
             std::min<std::size_t>(aMean.m_reporters, kMaxReporters),
             at };
  }
}

void
LoadTable::Tick(base::Instant aNow)
{
  NotePause(aNow);
  if (aNow - m_estimatedAt < kEstimateInterval) {
    return;
  }
  m_estimatedAt = aNow;
  Expire(aNow);
  SumReports(aNow);
  ChooseMeans();
  EstimateLoads();
}

void
LoadTable::Expire(base::Instant aNow)
{
  std::erase_if(m_reports, [&](const auto& aReport) {
    return !IsRecent(aReport.second.m_at, aNow);
  });
  for (auto& [zone, means] : m_means) {
    m_meanCount -= std::erase_if(means, [&](const auto& aMean) {
      return !IsRecent(aMean.second.m_at, aNow);
    });
  }
  std::erase_if(m_means,
                [](const auto& aZone) { return aZone.second.empty(); });
  std::erase_if(m_observed, [&](const auto& aServer) {
    return std::ranges::none_of(aServer.second, [&](const Observation& aOne) {
      return IsRecent(aOne.m_at, aNow);
    });
  });
}

void
LoadTable::SumReports(base::Instant aNow)
{
  m_sums.clear();
  for (const auto& [address, report] : m_reports) {
    const double weight =
      1 - std::chrono::duration<double>(aNow - report.m_at) / kReportLife;
    ZoneSum& sum = m_sums[report.m_zone];
    sum.m_weight += weight;
    sum.m_at = std::max(sum.m_at, report.m_at);
    ++sum.m_reporters;
    for (const GroupRequests& group : report.m_requests) {
      sum.m_requests[group.m_group] += weight * group.m_requests;
    }
  }
}

void
LoadTable::ChooseMeans()
{
  m_chosen = m_means;
  for (const auto& [zone, sum] : m_sums) {
    if (sum.m_reporters < ReportersNeeded(zone) || sum.m_weight <= 0) {
      continue;
    }
    Means& means = m_chosen[zone];
    const auto offer = [&, reporters = sum.m_reporters, at = sum.m_at](
                         const ServerGroup& aGroup, double aRequestsPerHost) {
      Mean& mean = means[aGroup];
      if (reporters >= mean.m_reporters) {
        mean = { aRequestsPerHost, reporters, at };
      }
    };
    for (const auto& [group, requests] : sum.m_requests) {
      offer(group, requests / sum.m_weight);
    }
    // A zone that sends nothing to its own servers has head room, which differs
    // from having no report.
    for (const auto& [group, slots] : m_slots) {
      if (group.m_zone == zone && !sum.m_requests.contains(group)) {
        offer(group, 0);
      }
    }
  }
}

void
LoadTable::EstimateLoads()
{
  m_estimates.clear();
  for (const auto& [group, slots] : m_slots) {
    const auto own = m_chosen.find(group.m_zone);
    const bool isKnown =
      own != m_chosen.end() && own->second.contains(group) && slots > 0;
    if (!isKnown) {
      continue;
    }
    double requests = 0;
    std::size_t reporters = 0;
    base::Instant at = own->second.at(group).m_at;
    for (const auto& [source, means] : m_chosen) {
      const auto mean = means.find(group);
      if (mean != means.end()) {
        requests += mean->second.m_requestsPerHost *
                    static_cast<double>(LiveHostsOf(source));
        reporters += mean->second.m_reporters;
      }
    }
    if (reporters >= kMinReporters) {
      m_estimates[group.m_service][group.m_zone] = {
        requests / static_cast<double>(slots), at
      };
    }
  }
}

std::size_t
LoadTable::ReportersNeeded(const std::string& aZone) const
{
  return std::clamp<std::size_t>(LiveHostsOf(aZone), 1, kMinReporters);
}

std::size_t
LoadTable::LiveHostsOf(const std::string& aZone) const
{
  const auto found = m_liveHosts.find(aZone);
  return found == m_liveHosts.end() ? 0 : found->second;
}

LearnedLoad
LoadTable::Newest(base::Ipv4Address aSelf,
                  std::size_t aHosts,
                  std::size_t aMeans,
                  base::Instant aNow) const
{
  LearnedLoad learned;
  for (const auto& [address, report] : m_reports) {
    const base::Duration age = aNow - report.m_at;
    if (report.m_zone == m_ownZone && address != aSelf.m_bits && IsValid(age)) {
      learned.m_hosts.push_back({ { address }, age, {} });
    }
  }
  std::ranges::sort(learned.m_hosts, {}, &ForwardedLoad::m_age);
  learned.m_hosts.resize(std::min(learned.m_hosts.size(), aHosts));
  for (ForwardedLoad& load : learned.m_hosts) {
    load.m_requests = m_reports.at(load.m_host.m_bits).m_requests;
  }
  // The own zone's means are as old as their computation, those of other zones
  // keep the age that they came with.
  const auto add = [&](const std::string& aZone,
                       const ServerGroup& aGroup,
                       const Mean& aMean,
                       base::Duration aAge) {
    if (IsValid(aAge)) {
      learned.m_zones.push_back({ aZone,
                                  aGroup,
                                  aMean.m_requestsPerHost,
                                  static_cast<std::uint32_t>(aMean.m_reporters),
                                  aAge });
    }
  };
  const auto own = m_chosen.find(m_ownZone);
  if (own != m_chosen.end()) {
    for (const auto& [group, mean] : own->second) {
      add(m_ownZone, group, mean, aNow - m_estimatedAt);
    }
  }
  const auto others = static_cast<std::ptrdiff_t>(learned.m_zones.size());
  for (const auto& [zone, means] : m_means) {
    for (const auto& [group, mean] : means) {
      add(zone, group, mean, aNow - mean.m_at);
    }
  }
  std::ranges::sort(learned.m_zones.begin() + others,
                    learned.m_zones.end(),
                    {},
                    &ZoneRequests::m_age);
  learned.m_zones.resize(std::min(learned.m_zones.size(), aMeans));
  return learned;
}

} // namespace wasabiloom::placing
