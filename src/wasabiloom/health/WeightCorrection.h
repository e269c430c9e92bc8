/// Decides how much more or less new work than its weight a backend server
/// should get.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace wasabiloom::health {

/// Share of its weight, in percent.
using Percent = std::uint32_t;

/// Neutral correction.
constexpr Percent kNeutralPercent = 100;

/// What is known about the load of one backend server.
struct LoadObservation
{
  std::uint32_t m_weight = 0;
  /// Open flows by its own account, if there is a fresh one.
  std::optional<std::uint32_t> m_reportedFlows;
  /// Open flows among those this host has seen lately.
  std::uint32_t m_observedFlows = 0;

  friend auto operator<=>(const LoadObservation&,
                          const LoadObservation&) = default;
};

/// Corrections that lead the open flows of all backend servers towards their
/// weights. A report is believed as far as the flows seen support it; without
/// one only large differences count, since a host sees a sample. Equal in size
/// and order to `aEvidence`. Thread safe.
std::vector<Percent>
ComputeWeightCorrections(const std::vector<LoadObservation>& aEvidence);

} // namespace wasabiloom::health
