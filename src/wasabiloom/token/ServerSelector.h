/// What a host makes of each backend server, from the registry and from what
/// callers' packets show.
#pragma once

#include "wasabiloom/placing/LatencyTracker.h"
#include "wasabiloom/placing/PassiveHealthCheck.h"
#include "wasabiloom/placing/Placement.h"
#include "wasabiloom/registry/RegistryCache.h"
#include "wasabiloom/token/FlowTracker.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiloom::token {

/// A flow is reset when its server has been gone for so long, or has lapsed
/// and leaves callers unanswered, and no caller heard from it lately.
constexpr base::Duration kMinGoneTime = std::chrono::milliseconds(500);
constexpr base::Duration kMinSilenceBeforeReset =
  std::chrono::milliseconds(2500);

/// A repetition that comes sooner was held up on its way here: it says nothing
/// of the server.
constexpr base::Duration kMinRetransmitInterval =
  std::chrono::milliseconds(100);

/// Draws of servers after which the best of what was seen is taken.
constexpr std::uint64_t kMaxSampleRounds = 3;

/// Signs of life and doubt, answer times and load of all servers. One thread
/// at a time.
class ServerSelector
{
public:
  /// The references must outlive the watch.
  ServerSelector(std::string aOwnZone,
                 const registry::RegistryCache& aBeliefs,
                 FlowTracker& aFlows);

  /// A caller repeated the opening packet that went to `aServer`.
  void OnOpeningRetransmitted(const registry::ServerRecord& aServer,
                              base::Instant aNow);

  /// A packet of an open flow at `aServer` came; `aRecord` is the flow's.
  void OnFlowPacket(const packet::TokenPacket& aPacket,
                    const registry::ServerRecord& aServer,
                    FlowRecord& aRecord,
                    base::Instant aNow);

  /// Chooses the server of a new flow of `aService` with hash `aHash`; see
  /// placing::Place. Of many servers only some are looked at, and all before
  /// the answer is that there is none.
  std::optional<placing::Placement> ChooseServer(std::string_view aService,
                                                 std::uint32_t aAvoid,
                                                 std::uint64_t aHash,
                                                 base::Instant aNow);

  /// Whether `aServer` may take a new flow at all.
  bool CanAcceptFlow(const registry::ServerRecord& aServer) const;

  /// Whether `aServer` is dead beyond doubt. Precondition: the registry
  /// answers.
  bool IsConfirmedGone(const registry::ServerRecord& aServer,
                       base::Instant aNow) const;

  /// Forgets what is no longer fresh.
  void Sweep(base::Instant aNow);

private:
  void AddCandidates(const registry::ServiceIndex::Servers& aServers,
                     base::Instant aNow);
  void DoubtZone(const registry::ServerRecord& aServer, base::Instant aNow);
  bool IsSuspect(const registry::ServerRecord& aServer,
                 base::Instant aNow) const;

  std::string m_ownZone;
  const registry::RegistryCache& m_beliefs;
  FlowTracker& m_flows;
  placing::PassiveHealthCheck m_suspicion;
  /// Doubt about whole zones other than the own one.
  placing::PassiveHealthCheck m_zoneSuspicion;
  placing::LatencyTracker m_latencies;
  /// Kept between choices, so that they need no memory of their own.
  registry::ServiceIndex::Servers m_drawn;
  std::vector<placing::Candidate> m_candidates;
};

} // namespace wasabiloom::token
