#include "wasabiloom/placing/LoadTable.h"

#include <algorithm>
#include <cmath>

namespace wasabiloom::placing {

namespace {

bool
IsRecent(base::Instant aAt, base::Instant aNow)
{
  return aNow - aAt < kReportLife;
}

/// Weight of a report that is younger than kReportLife.
double
WeightOf(base::Duration aAge)
{
  const std::chrono::duration<double> left = kReportLife - aAge;
  return std::pow(left / kReportLife, kAgeExponent);
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
IsValid(const std::vector<GroupMeans>& aMeans)
{
  return aMeans.size() <= kMaxGroupsPerHost &&
         std::ranges::all_of(aMeans, [](const GroupMeans& aGroup) {
           return IsValid(aGroup.m_group) &&
                  std::ranges::all_of(aGroup.m_means, [](double aMean) {
                    return IsValid(aMean);
                  });
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
    m_ownMeans.clear();
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
      !IsValid(aLoad.m_requests) || !IsValid(aLearned.m_means) ||
      aLoad.m_servers.size() > kMaxServersPerReport ||
      aLearned.m_zones.size() > kMaxZoneRequests) {
    return false;
  }
  if (aFrom.m_zone == m_ownZone &&
      !MergeRequests(aFrom, aLoad, aLearned, aNow)) {
    return false;
  }
  // Decisions combine what this host saw of single servers with what others
  // report, so its own samples are left out.
  if (!aFrom.m_isSelf) {
    MergeServers(aFrom.m_address, aLoad.m_servers, aNow);
  }
  for (const ZoneRequests& mean : aLearned.m_zones) {
    MergeMean(mean, aNow);
  }
  return true;
}

bool
LoadTable::MergeRequests(const Reporter& aFrom,
                         const HostLoad& aLoad,
                         const LearnedLoad& aLearned,
                         base::Instant aNow)
{
  const auto known = m_reports.find(aFrom.m_address.m_bits);
  const bool isFirst = known == m_reports.end();
  if (!isFirst &&
      !IsNewer(aFrom, known->second.m_incarnation, known->second.m_sequence)) {
    return false;
  }
  if (isFirst && m_reports.size() >= kMaxReporters) {
    return false;
  }
  Report report{ aFrom.m_incarnation,
                 aFrom.m_sequence,
                 aFrom.m_isSelf,
                 aNow,
                 std::min<std::size_t>(aLearned.m_reporters, kMaxReporters),
                 {} };
  for (const GroupRequests& group : aLoad.m_requests) {
    report.m_requests[group.m_group][0] = group.m_requests;
  }
  for (const GroupMeans& group : aLearned.m_means) {
    Levels& levels = report.m_requests[group.m_group];
    std::ranges::copy(group.m_means, levels.begin() + 1);
  }
  m_reports[aFrom.m_address.m_bits] = std::move(report);
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
  AverageReports(aNow);
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

double
LoadTable::OwnWeight(base::Instant aNow) const
{
  double total = 0;
  std::size_t count = 0;
  for (const auto& [address, report] : m_reports) {
    if (!report.m_isSelf) {
      total += WeightOf(aNow - report.m_at);
      ++count;
    }
  }
  return count == 0 ? 1 : total / static_cast<double>(count);
}

void
LoadTable::AverageReports(base::Instant aNow)
{
  m_ownMeans.clear();
  // A zone that sends nothing to its own servers has head room, which differs
  // from having no report.
  for (const auto& [group, slots] : m_slots) {
    if (group.m_zone == m_ownZone) {
      m_ownMeans[group] = {};
    }
  }
  const double ownWeight = OwnWeight(aNow);
  double total = 0;
  for (const auto& [address, report] : m_reports) {
    const double weight =
      report.m_isSelf ? ownWeight : WeightOf(aNow - report.m_at);
    total += weight;
    m_newestAt = std::max(m_newestAt, report.m_at);
    for (const auto& [group, requests] : report.m_requests) {
      Levels& sums = m_ownMeans[group];
      for (std::size_t level = 0; level < sums.size(); ++level) {
        sums.at(level) += weight * requests.at(level);
      }
    }
  }
  for (auto& [group, sums] : m_ownMeans) {
    for (double& sum : sums) {
      sum = total > 0 ? sum / total : 0;
    }
  }
}

void
LoadTable::EstimateLoads()
{
  m_estimates.clear();
  const bool knowsOwn = AreEnough(ReportersKnown(), m_ownZone);
  for (const auto& [group, slots] : m_slots) {
    double requests = 0;
    std::size_t reporters = 0;
    bool isKnown = false;
    base::Instant at;
    const auto add = [&, &zone = group.m_zone](const std::string& aSource,
                                               const Mean& aMean) {
      requests +=
        aMean.m_requestsPerHost * static_cast<double>(LiveHostsOf(aSource));
      reporters += aMean.m_reporters;
      if (aSource == zone) {
        isKnown = true;
        at = aMean.m_at;
      }
    };
    const auto own = m_ownMeans.find(group);
    if (knowsOwn && own != m_ownMeans.end()) {
      add(m_ownZone, { own->second.back(), ReportersKnown(), m_newestAt });
    }
    for (const auto& [source, means] : m_means) {
      const auto mean = means.find(group);
      if (mean != means.end() && AreEnough(mean->second.m_reporters, source)) {
        add(source, mean->second);
      }
    }
    // Without the reports of the zone's own hosts, most of its load is unknown.
    if (isKnown && slots > 0 && reporters >= kMinReporters) {
      m_estimates[group.m_service][group.m_zone] = {
        requests / static_cast<double>(slots), at
      };
    }
  }
}

std::size_t
LoadTable::ReportersKnown() const
{
  std::size_t known = m_reports.size();
  for (const auto& [address, report] : m_reports) {
    known = std::max(known, report.m_reporters);
  }
  return known;
}

bool
LoadTable::AreEnough(std::size_t aReporters, const std::string& aZone) const
{
  return aReporters >=
         std::clamp<std::size_t>(LiveHostsOf(aZone), 1, kMinReporters);
}

std::size_t
LoadTable::LiveHostsOf(const std::string& aZone) const
{
  const auto found = m_liveHosts.find(aZone);
  return found == m_liveHosts.end() ? 0 : found->second;
}

LearnedLoad
LoadTable::Newest(std::size_t aZones, base::Instant aNow) const
{
  LearnedLoad learned;
  learned.m_reporters = static_cast<std::uint32_t>(m_reports.size());
  const bool knowsOwn = AreEnough(ReportersKnown(), m_ownZone);
  const base::Duration ownAge = aNow - m_estimatedAt;
  for (const auto& [group, means] : m_ownMeans) {
    GroupMeans own{ group, {} };
    std::copy_n(means.begin(), kMeanLevels, own.m_means.begin());
    learned.m_means.push_back(std::move(own));
    if (knowsOwn && IsValid(ownAge)) {
      learned.m_zones.push_back({ m_ownZone,
                                  group,
                                  means.back(),
                                  static_cast<std::uint32_t>(ReportersKnown()),
                                  ownAge });
    }
  }
  learned.m_means.resize(std::min(learned.m_means.size(), kMaxGroupsPerHost));
  const auto others = static_cast<std::ptrdiff_t>(learned.m_zones.size());
  for (const auto& [zone, means] : m_means) {
    for (const auto& [group, mean] : means) {
      const base::Duration age = aNow - mean.m_at;
      if (IsValid(age)) {
        learned.m_zones.push_back(
          { zone,
            group,
            mean.m_requestsPerHost,
            static_cast<std::uint32_t>(mean.m_reporters),
            age });
      }
    }
  }
  std::ranges::sort(learned.m_zones.begin() + others,
                    learned.m_zones.end(),
                    {},
                    &ZoneRequests::m_age);
  learned.m_zones.resize(std::min(learned.m_zones.size(), aZones));
  return learned;
}

} // namespace wasabiloom::placing
