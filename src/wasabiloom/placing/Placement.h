/// Chooses the backend server of a new flow.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace wasabiloom::placing {

/// One backend server that may take the flow, as this host sees it.
struct Candidate
{
  std::uint32_t m_token = 0;
  /// Flows of this host that are open there.
  std::uint32_t m_openFlows = 0;
  /// Those of them with a request under way.
  std::uint32_t m_activeRequests = 0;
  std::uint32_t m_slots = 1;
  /// Lately measured answer time; zero when there is none.
  base::Duration m_latency{ 0 };
  bool m_sameZone = false;
  bool m_cold = false;
  /// Callers' packets or its missing entry speak against it.
  bool m_suspect = false;

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

/// Why a candidate was chosen.
enum class PlaceReason : std::uint8_t
{
  LeastLoad,
  /// All that are left are cold.
  OnlyCold,
  /// All that are left are suspect.
  OnlySuspect,
};

/// The choice.
struct Placement
{
  std::uint32_t m_token = 0;
  PlaceReason m_reason = PlaceReason::LeastLoad;

  friend auto operator<=>(const Placement&, const Placement&) = default;
};

/// Load is counted in requests for each slot. An open flow without a request
/// counts for little, and a server that answers slower than most counts as
/// fuller by the answer times it is behind.
constexpr double kOpenFlowLoad = 0.05;

/// Answer times up to this multiple of the median are ordinary scatter.
constexpr double kOrdinaryLatency = 1.5;

/// How much fuller a server of the own zone must be before one of another
/// zone is chosen: what crosses zones is lost when they are cut off.
constexpr double kZoneDistance = 1.2;

/// Chooses among `aCandidates`: not suspect before suspect, warm before cold,
/// then the least load, where another zone counts as kZoneDistance more; ties
/// fall by `aHash`, so that hosts which know the same spread differently.
/// `aAvoid` is left out while there is another one; 0 for none. Empty when
/// there is no candidate. Thread safe.
std::optional<Placement>
Place(std::span<const Candidate> aCandidates,
      std::uint32_t aAvoid,
      std::uint64_t aHash);

/// Name of `aReason` for logs. Thread safe.
std::string_view
ToString(PlaceReason aReason);

} // namespace wasabiloom::placing
