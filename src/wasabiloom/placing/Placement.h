/// Selects a backend server for a new flow.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace wasabiloom::placing {

/// Backend server that can accept the flow, with its load and health as this
/// host observes them.
struct Candidate
{
  std::uint32_t m_token = 0;
  /// Number of flows that this host forwards to the server.
  std::uint32_t m_openFlows = 0;
  /// Number of those flows that are being opened or have a request in progress.
  std::uint32_t m_activeRequests = 0;
  /// Number of requests that the server can process at a time.
  std::uint32_t m_slots = 1;
  /// Recent average response time; zero if there is none.
  base::Duration m_latency{ 0 };
  bool m_sameZone = false;
  bool m_cold = false;
  /// Whether callers' packets or the removal of its registry entry indicate
  /// that the server has failed.
  bool m_suspect = false;

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

/// Reason for a placement.
enum class PlaceReason : std::uint8_t
{
  /// The candidate with the least load.
  LeastLoad,
  /// All remaining candidates are cold.
  OnlyCold,
  /// All remaining candidates are suspect.
  OnlySuspect,
};

/// Selected server, named by its token.
struct Placement
{
  std::uint32_t m_token = 0;
  PlaceReason m_reason = PlaceReason::LeastLoad;

  friend auto operator<=>(const Placement&, const Placement&) = default;
};

/// Load of an open flow, in requests. The load of a server is its number of
/// requests per slot, plus a penalty for responses slower than those of the
/// fastest quarter of servers: the excess of its response time over
/// kOrdinaryLatency, in multiples of the first quartile.
constexpr double kOpenFlowLoad = 0.05;

/// Response times up to this multiple of the first quartile are normal
/// variation and add no load.
constexpr double kOrdinaryLatency = 1.5;

/// Load in requests per slot that is added to servers in other zones. Flows
/// across zones break when the zones lose contact, so a server in the host's
/// own zone is preferred unless its load is higher by more than this.
constexpr double kZoneDistance = 1.2;

/// Selects one of `aCandidates`. Servers that are not suspect come before
/// suspect ones, then warm before cold, then the least load, where servers in
/// other zones count as kZoneDistance more loaded. `aHash` breaks ties, so that
/// hosts with the same data spread their flows differently. The server with the
/// token `aAvoid` is selected only if it is the sole candidate; 0 avoids none.
/// Returns nothing if there is no candidate. Thread safe.
std::optional<Placement>
Place(std::span<const Candidate> aCandidates,
      std::uint32_t aAvoid,
      std::uint64_t aHash);

/// Returns the name of `aReason` in logs. Thread safe.
std::string_view
ToString(PlaceReason aReason);

} // namespace wasabiloom::placing
