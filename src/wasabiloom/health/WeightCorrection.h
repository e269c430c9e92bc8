/// Computes how far the share of new work of a backend server should deviate
/// from its weight.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace wasabiloom::health {

/// Share of a backend server's weight, in percent.
using Percent = std::uint32_t;

/// Correction of a backend server that gets new work exactly by its weight.
constexpr Percent kNeutralPercent = 100;

/// Observed load of one backend server.
struct LoadObservation
{
  std::uint32_t m_weight = 0;
  /// Open flows in its status report; empty without a recent report.
  std::optional<std::uint32_t> m_reportedFlows;
  /// Open flows among the flows that this host has seen recently.
  std::uint32_t m_observedFlows = 0;

  friend auto operator<=>(const LoadObservation&,
                          const LoadObservation&) = default;
};

/// Returns a correction for each entry of `aEvidence`, in the same order. The
/// corrections move the open flows of all backend servers towards their
/// weights. A report is used only if it agrees with the flows that this host
/// has seen. Without a usable report only large differences are corrected,
/// since a host sees just a sample of the flows. Thread safe.
std::vector<Percent>
ComputeWeightCorrections(const std::vector<LoadObservation>& aEvidence);

} // namespace wasabiloom::health
