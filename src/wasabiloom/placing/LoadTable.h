/// Merges the load reports of several hosts. Load problem addressed: a host
/// sees only the requests that it forwards itself, a small part of those that
/// compete for the servers.
#pragma once

#include "wasabiloom/placing/LoadObservations.h"
#include "wasabiloom/placing/SharedLoad.h"

#include <array>
#include <map>
#include <unordered_map>

namespace wasabiloom::placing {

/// Time for which a report is valid. Its weight falls to zero within this time,
/// as the power kAgeExponent of the remaining share. The estimate of a zone
/// takes several means in a row, so new reports must count for more than old
/// ones to show a change of load within 2 s.
constexpr base::Duration kReportLife = std::chrono::seconds(2);
constexpr int kAgeExponent = 5;

/// Number of reporters below which there is no estimate.
constexpr std::size_t kMinReporters = 3;

/// Limits on the table's memory: hosts of the own zone, estimates of other
/// zones, and servers with their reporters. What exceeds them is ignored.
constexpr std::size_t kMaxReporters = 512;
constexpr std::size_t kMaxZoneMeans = 1024;
constexpr std::size_t kMaxObservedServers = 16'384;
constexpr std::size_t kMaxObservers = 8;

/// Interval at which estimates are computed. It delays each of the means.
constexpr base::Duration kEstimateInterval = std::chrono::milliseconds(50);

/// A longer interval between two calls of Tick or Merge means that this process
/// was paused. For kDrainTime after it, reports are ignored, because they may
/// have waited in the socket's buffer.
constexpr base::Duration kTablePause = std::chrono::seconds(1);
constexpr base::Duration kDrainTime = std::chrono::milliseconds(200);

/// Slots of the servers of each group that can take flows.
using GroupSlots = std::map<ServerGroup, std::uint64_t>;

/// Number of live hosts of each zone, this host included.
using LiveHosts = std::map<std::string, std::size_t>;

/// The load of zones and servers, merged from recent reports. Empty as long as
/// no host sends reports.
///
/// A host hears only some hosts of its zone within kReportLife, and the
/// requests of one host vary much from report to report. Reports therefore also
/// hold the mean over the hosts that their sender heard, the mean of such
/// means, and so on. The estimate of the zone is the mean of the last, and thus
/// rests on most of its hosts. Hosts of other zones take it over and pass it on
/// with its age. Not thread safe.
class LoadTable final : public SharedLoad
{
public:
  /// `aOwnZone`: the zone of this host. Its mean is only estimated from reports
  /// and never taken from another host, so that its age can't be understated.
  explicit LoadTable(std::string aOwnZone = {});

  std::optional<ZoneLoad> LoadOfZone(std::string_view aService,
                                     std::string_view aZone,
                                     base::Instant aNow) const override;
  std::optional<ServerObservation> ObservationOf(
    std::uint32_t aToken,
    base::Instant aNow) const override;

  /// Merges the observations of `aFrom`, and what it passes on. Returns false
  /// if the report is not newer than the known one and was ignored.
  bool Merge(const Reporter& aFrom,
             const HostLoad& aLoad,
             const LearnedLoad& aLearned,
             base::Instant aNow);

  /// Replaces the slots of the servers, and the number of live hosts.
  void SetSlots(GroupSlots aSlots) { m_slots = std::move(aSlots); }
  const GroupSlots& Slots() const { return m_slots; }
  void SetLiveHosts(LiveHosts aLiveHosts)
  {
    m_liveHosts = std::move(aLiveHosts);
  }

  /// Drops expired reports and computes the estimates, at most once per
  /// kEstimateInterval. Call it several times a second.
  void Tick(base::Instant aNow);

  /// Returns what this host passes on, with up to `aZones` estimates of zones.
  LearnedLoad Newest(std::size_t aZones, base::Instant aNow) const;

  /// Number of hosts of the own zone whose reports are valid here, or at a host
  /// whose report is.
  std::size_t ReportersKnown() const;

  /// Number of hosts of the own zone whose reports are valid.
  std::size_t ReporterCount() const { return m_reports.size(); }

private:
  /// Requests of a host, followed by its means.
  using Levels = std::array<double, kMeanLevels + 1>;

  struct Report
  {
    std::uint64_t m_incarnation = 0;
    std::uint32_t m_sequence = 0;
    bool m_isSelf = false;
    base::Instant m_at;
    /// Number of hosts on whose reports its means rest.
    std::size_t m_reporters = 0;
    std::map<ServerGroup, Levels> m_requests;
  };

  /// Mean of a source zone, as estimated there.
  struct Mean
  {
    double m_requestsPerHost = 0;
    std::size_t m_reporters = 0;
    base::Instant m_at;
  };

  struct Estimate
  {
    double m_requestsPerSlot = 0;
    base::Instant m_at;
  };

  struct Observation
  {
    base::Ipv4Address m_host;
    base::Instant m_at;
    base::Duration m_latency{ 0 };
    std::uint32_t m_responses = 0;
    bool m_isFailing = false;
  };

  using Observations = std::array<Observation, kMaxObservers>;
  using Means = std::map<ServerGroup, Mean>;

  void NotePause(base::Instant aNow);
  /// Returns false if the report is not newer than the known one of its host.
  bool MergeRequests(const Reporter& aFrom,
                     const HostLoad& aLoad,
                     const LearnedLoad& aLearned,
                     base::Instant aNow);
  void MergeServers(base::Ipv4Address aHost,
                    const std::vector<ServerSample>& aServers,
                    base::Instant aNow);
  void MergeMean(const ZoneRequests& aMean, base::Instant aNow);
  void Expire(base::Instant aNow);
  /// Averages the reports of the own zone, level by level.
  void AverageReports(base::Instant aNow);
  /// Weight of the report of this host: the mean of the others' weights. As its
  /// report is always the newest, its load would otherwise dominate.
  double OwnWeight(base::Instant aNow) const;
  void EstimateLoads();
  /// Whether `aReporters` are enough for an estimate of `aZone`.
  bool AreEnough(std::size_t aReporters, const std::string& aZone) const;
  std::size_t LiveHostsOf(const std::string& aZone) const;

  std::string m_ownZone;
  GroupSlots m_slots;
  LiveHosts m_liveHosts;
  /// Reports of the hosts of the own zone, this host included.
  std::unordered_map<std::uint32_t, Report> m_reports;
  /// Means over m_reports, level by level.
  std::map<ServerGroup, Levels> m_ownMeans;
  base::Instant m_newestAt;
  /// Means of other zones.
  std::map<std::string, Means, std::less<>> m_means;
  std::size_t m_meanCount = 0;
  std::
    map<std::string, std::map<std::string, Estimate, std::less<>>, std::less<>>
      m_estimates;
  std::unordered_map<std::uint32_t, Observations> m_observed;
  base::Instant m_ranAt;
  base::Instant m_pausedUntil;
  base::Instant m_estimatedAt;
};

} // namespace wasabiloom::placing
