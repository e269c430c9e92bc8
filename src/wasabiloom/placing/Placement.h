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
  /// Share of a normal server's new flows that the server gets; see SlowStart.
  double m_share = 1;
  /// Whether the server can get flows although it is cold and others are warm.
  bool m_coldAllowed = false;
  /// Average time in which the server answers a request, without the way of the
  /// packets; zero if too few responses are known to tell the server's speed.
  base::Duration m_serviceTime{ 0 };

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

/// Reason for a placement.
enum class PlaceReason : std::uint8_t
{
  /// The candidate with the least load, or one that was drawn by its share.
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

/// When many servers ramp up at a time, their shares are raised in proportion
/// so that the others get at most this multiple of the flows that they would
/// get if none did. Servers that are up to 80% busy can bear it.
constexpr double kMaxExtraLoad = 1.25;

/// Selects one of `aCandidates`. Servers that are not suspect come before
/// suspect ones, then warm before cold, then the least load, where servers in
/// other zones count as kZoneDistance more loaded. `aHash` breaks ties, so that
/// hosts with the same data spread their flows differently. The server with the
/// token `aAvoid` is selected only if it is the sole candidate; 0 avoids none.
///
/// A usable candidate with a share below 1, or a cold one that is allowed, is
/// drawn by the hash in proportion to its share of the sum of the shares in its
/// zone. It gets the flow unless another candidate with the full share has less
/// load.
///
/// Where the speeds of most usable candidates are known and their quartiles
/// differ by more than kOrdinaryLatency, the load is
/// the expected time of the next request: (requests in progress + 1) times the
/// service time relative to the first quartile. The 1 is replaced by a random
/// number of the flow with the mean 1, so that servers that are idle here get
/// flows in proportion to their speeds.
///
/// Returns nothing if there is no candidate. Thread safe.
std::optional<Placement>
Place(std::span<const Candidate> aCandidates,
      std::uint32_t aAvoid,
      std::uint64_t aHash);

/// Returns the name of `aReason` in logs. Thread safe.
std::string_view
ToString(PlaceReason aReason);

} // namespace wasabiloom::placing
