/// Selects backend servers by their registry state and by the health and load
/// that callers' packets show.
#pragma once

#include "wasabiloom/placing/ColdQuota.h"
#include "wasabiloom/placing/LatencyTracker.h"
#include "wasabiloom/placing/LoadTable.h"
#include "wasabiloom/placing/PassiveHealthCheck.h"
#include "wasabiloom/placing/Placement.h"
#include "wasabiloom/placing/SharedLoad.h"
#include "wasabiloom/placing/SlowStart.h"
#include "wasabiloom/registry/RegistryCache.h"
#include "wasabiloom/token/FlowTracker.h"
#include "wasabiloom/token/LoadControl.h"
#include "wasabiloom/token/LoadObserver.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiloom::token {

/// Time for which a server must be gone before its flows are reset. The flows
/// of a server whose entry has lapsed are reset only if the server is suspect.
/// In both cases kMinSilenceBeforeReset must also have passed.
constexpr base::Duration kMinGoneTime = std::chrono::milliseconds(500);

/// Time for which no caller of this host must have received new data from a
/// server before its flows are reset.
constexpr base::Duration kMinSilenceBeforeReset =
  std::chrono::milliseconds(2500);

/// Shortest interval of a retransmission. A packet that is repeated sooner was
/// delayed on its way to this host and does not indicate a failed server.
constexpr base::Duration kMinRetransmitInterval =
  std::chrono::milliseconds(100);

/// Number of random samples of servers after which the best server found is
/// selected.
constexpr std::uint64_t kMaxSampleRounds = 3;

/// Number of hosts whose opening packets went unanswered that make a server
/// suspect on hosts that have not heard it meanwhile. A single host may have a
/// fault of its own.
constexpr std::uint32_t kFailingHostsForSuspicion = 2;

/// Tracks health, response times and load of all servers, and selects servers
/// for new flows. Not thread safe.
class ServerSelector
{
public:
  /// The references must outlive this object.
  ServerSelector(std::string aOwnZone,
                 const registry::RegistryCache& aCache,
                 FlowTracker& aFlows,
                 const placing::SharedLoad& aSharedLoad,
                 const LoadFeatures& aFeatures = {});

  /// Records that the host knows the registry from now on; see
  /// placing::SlowStart::SetKnownSince.
  void OnRegistryKnown(base::Instant aNow) { m_slowStart.SetKnownSince(aNow); }

  /// See placing::ColdQuota::SetHosts.
  void SetZoneHosts(const placing::HostPosition& aPosition, base::Instant aNow)
  {
    m_coldQuota.SetHosts(aPosition, aNow);
  }

  /// Whether the cold quota of `aServer`, if it has one, allows an opening
  /// packet now.
  bool AllowsOpening(const registry::ServerRecord& aServer,
                     base::Instant aNow) const;

  /// Records that a new flow was placed on `aServer`.
  void OnPlaced(const registry::ServerRecord& aServer, base::Instant aNow);

  /// Records that an opening packet is sent to `aServer`.
  void OnOpeningSent(const registry::ServerRecord& aServer, base::Instant aNow);

  placing::SlowStart& GetSlowStart() { return m_slowStart; }
  const placing::SlowStart& GetSlowStart() const { return m_slowStart; }
  const placing::ColdQuota& GetColdQuota() const { return m_coldQuota; }

  /// Records that a caller retransmitted an opening packet that was sent to
  /// `aServer`.
  void OnOpeningRetransmitted(const registry::ServerRecord& aServer,
                              base::Instant aNow);

  /// Updates the health, response time and load of `aServer` by a packet of an
  /// open flow. `aRecord` is the record of that flow.
  void OnFlowPacket(const packet::TokenPacket& aPacket,
                    const registry::ServerRecord& aServer,
                    FlowRecord& aRecord,
                    base::Instant aNow);

  /// Selects a server for a new flow of `aService` with hash `aHash`; see
  /// placing::Place. A flow that spills over (see LoadControl) gets a server of
  /// that zone if a warm one that is not suspect is found there. If the service
  /// has many servers, only random samples are considered; all are considered
  /// before nothing is returned.
  /// `aUrgency`: whether reserved servers are preferred or avoided.
  std::optional<placing::Placement> ChooseServer(
    std::string_view aService,
    std::uint32_t aAvoid,
    std::uint64_t aHash,
    base::Instant aNow,
    placing::Urgency aUrgency = placing::Urgency::Equal);

  /// Whether `aServer` can accept new flows, regardless of health and load.
  bool CanAcceptFlow(const registry::ServerRecord& aServer) const;

  /// Whether the host's zone has a warm server that can accept new flows and is
  /// not suspect.
  bool HasLocalServer(base::Instant aNow) const;

  /// When a caller last received new data from a server of another zone; the
  /// epoch if never.
  base::Instant OtherZoneRespondedAt() const { return m_otherZoneRespondedAt; }

  /// Whether `aServer` has certainly failed or left, so that its flows can be
  /// reset. Precondition: the registry is reachable.
  bool IsConfirmedGone(const registry::ServerRecord& aServer,
                       base::Instant aNow) const;

  /// What this host observed, for its load reports.
  LoadObserver& GetObserver() { return m_observer; }
  /// Decides anew which new flows spill over to other zones. Must be called
  /// several times a second.
  void UpdateLoad(TokenEffects& aEffects, base::Instant aNow);

  LoadControl& GetLoadControl() { return m_loadControl; }
  const LoadControl& GetLoadControl() const { return m_loadControl; }

  /// Number of new flows that spilled over to other zones.
  std::uint64_t SpilledCount() const { return m_spilled; }

  /// Removes expired response times and health records.
  void Sweep(base::Instant aNow);

private:
  std::optional<placing::Placement> ChooseInZone(std::string_view aService,
                                                 std::string_view aZone,
                                                 std::uint32_t aAvoid,
                                                 std::uint64_t aHash,
                                                 base::Instant aNow,
                                                 placing::Urgency aUrgency);
  /// Removes candidates that a flow of `aUrgency` should not get as long as
  /// there are others. Urgent flows get reserved servers of the nearest zone
  /// that have no request of this host in progress.
  void ApplyReserve(std::string_view aService, placing::Urgency aUrgency);
  void AddCandidates(const registry::ServiceIndex::Servers& aServers,
                     base::Instant aNow);
  void RecordZoneFailure(const registry::ServerRecord& aServer,
                         base::Instant aNow);
  /// Whether the registry or packets of this host's callers make `aServer`
  /// suspect.
  bool IsSuspectHere(const registry::ServerRecord& aServer,
                     base::Instant aNow) const;
  /// Whether other hosts' reports make `aServer` suspect.
  bool IsReportedFailing(
    std::uint32_t aToken,
    const std::optional<placing::ServerObservation>& aObserved,
    base::Instant aNow) const;
  std::optional<placing::ServerObservation> ObservationOf(
    std::uint32_t aToken,
    base::Instant aNow) const;
  /// Tells slow start if `aServer` is suspect by its own health.
  void NoteSuspicion(const registry::ServerRecord& aServer, base::Instant aNow);
  placing::ServerSighting SightingOf(
    const registry::ServerRecord& aServer) const;
  /// Returns the time in `aAverage` in which `aServer` worked; zero if it rests
  /// on too few responses.
  base::Duration ServiceTimeIn(const placing::LatencyAverage& aAverage,
                               const registry::ServerRecord& aServer,
                               base::Instant aNow) const;
  /// Sets what slow start adds to a candidate.
  void AddSlowStart(const registry::ServerRecord& aServer,
                    placing::Candidate& aCandidate,
                    base::Instant aNow);
  /// Limit of the configuration for a cold server of `aService`; 0 for none.
  double ColdFlowsPerSecond(std::string_view aService) const;
  bool IsZoneSuspect(std::string_view aZone, base::Instant aNow) const;

  std::string m_ownZone;
  const registry::RegistryCache& m_cache;
  FlowTracker& m_flows;
  const placing::SharedLoad& m_sharedLoad;
  placing::PassiveHealthCheck m_serverHealth;
  /// Health of whole zones. It is ignored for the host's own zone.
  placing::PassiveHealthCheck m_zoneHealth;
  base::Instant m_otherZoneRespondedAt;
  placing::LatencyTracker m_latencies;
  /// Times of handshakes by the key of the server's zone. They are the way of
  /// the packets, which is also part of response times.
  placing::LatencyTracker m_handshakes;
  /// Whether slow start, cold quotas, shared suspicion and speeds are on.
  bool m_usesSlowStart;
  placing::SlowStart m_slowStart;
  placing::ColdQuota m_coldQuota;
  LoadObserver m_observer;
  LoadControl m_loadControl;
  std::uint64_t m_spilled = 0;
  /// Buffers that are reused to avoid allocations for each new flow.
  registry::ServiceIndex::Servers m_drawn;
  std::vector<placing::Candidate> m_candidates;
};

} // namespace wasabiloom::token
