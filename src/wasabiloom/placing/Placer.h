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
  std::uint32_t m_flows = 0;
  std::uint32_t m_slots = 1;
  bool m_sameZone = false;
  bool m_cold = false;
  /// Callers' packets or its missing entry speak against it.
  bool m_suspect = false;

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

/// Why a candidate was chosen.
enum class PlaceReason : std::uint8_t
{
  LeastFlows,
  /// All that are left are cold.
  OnlyCold,
  /// All that are left are suspect.
  OnlySuspect,
};

/// The choice.
struct Placement
{
  std::uint32_t m_token = 0;
  PlaceReason m_reason = PlaceReason::LeastFlows;

  friend auto operator<=>(const Placement&, const Placement&) = default;
};

/// Flows for each slot that a server of the own zone must hold more than one
/// of another zone before the other one is chosen.
constexpr double kZoneDistance = 3.0;

/// Chooses among `aCandidates`: not suspect before suspect, warm before cold,
/// then the fewest open flows for each slot, where another zone counts as
/// kZoneDistance more; ties fall by `aHash`, so that hosts which know the same
/// spread differently. `aAvoid` is left out while there is another one; 0 for
/// none. Empty when there is no candidate. Thread safe.
std::optional<Placement>
Place(std::span<const Candidate> aCandidates,
      std::uint32_t aAvoid,
      std::uint64_t aHash);

/// Name of `aReason` for logs. Thread safe.
std::string_view
ToString(PlaceReason aReason);

} // namespace wasabiloom::placing
