/// Selects backend servers by their registry state and by the health and load
/// that callers' packets show.
#pragma once

#include "wasabiloom/placing/LatencyTracker.h"
#include "wasabiloom/placing/LoadTable.h"
#include "wasabiloom/placing/PassiveHealthCheck.h"
#include "wasabiloom/placing/Placement.h"
#include "wasabiloom/placing/SharedLoad.h"
#include "wasabiloom/registry/RegistryCache.h"
#include "wasabiloom/token/FlowTracker.h"

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

/// Number of servers of which one report holds the response times.
constexpr std::size_t kMaxReportedServers = 4;

/// Tracks health, response times and load of all servers, and selects servers
/// for new flows. Not thread safe.
class ServerSelector
{
public:
  /// The references must outlive this object.
  ServerSelector(std::string aOwnZone,
                 const registry::RegistryCache& aCache,
                 FlowTracker& aFlows,
                 const placing::SharedLoad& aSharedLoad);

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
  /// placing::Place. If the service has many servers, only random samples are
  /// considered; all are considered before nothing is returned.
  std::optional<placing::Placement> ChooseServer(std::string_view aService,
                                                 std::uint32_t aAvoid,
                                                 std::uint64_t aHash,
                                                 base::Instant aNow);

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

  /// Returns what this host observed since the last call: average requests at
  /// the servers that count in UsableSlots, and the most significant servers:
  /// first those whose state of failure has changed or holds, then those with
  /// the most responses since they were last reported.
  placing::HostLoad TakeLoad(base::Instant aNow);

  /// Returns the slots of the warm servers that can accept new flows, by
  /// service and zone. Passes over all servers.
  placing::GroupSlots UsableSlots(base::Instant aNow) const;

  /// Removes expired response times and health records.
  void Sweep(base::Instant aNow);

private:
  void AddCandidates(const registry::ServiceIndex::Servers& aServers,
                     base::Instant aNow);
  void RecordZoneFailure(const registry::ServerRecord& aServer,
                         base::Instant aNow);
  bool IsSuspect(const registry::ServerRecord& aServer,
                 base::Instant aNow) const;
  std::vector<placing::GroupRequests> TakeRequests(base::Instant aNow);
  std::vector<placing::ServerSample> TakeSamples(base::Instant aNow);

  std::string m_ownZone;
  const registry::RegistryCache& m_cache;
  FlowTracker& m_flows;
  const placing::SharedLoad& m_sharedLoad;
  placing::PassiveHealthCheck m_serverHealth;
  /// Health of whole zones. It is ignored for the host's own zone.
  placing::PassiveHealthCheck m_zoneHealth;
  base::Instant m_otherZoneRespondedAt;
  placing::LatencyTracker m_latencies;
  /// Servers that the last report called failing, in ascending order.
  std::vector<std::uint32_t> m_reportedFailing;
  /// Buffers that are reused to avoid allocations for each new flow.
  registry::ServiceIndex::Servers m_drawn;
  std::vector<placing::Candidate> m_candidates;
};

} // namespace wasabiloom::token
