#include "wasabiloom/health/WeightCorrection.h"

#include <algorithm>
#include <cmath>

namespace wasabiloom::health {

namespace {

constexpr double kGain = 3;
constexpr double kLeastFactor = 0.5;
constexpr double kMostFactor = 1.5;

/// Differences below this share of the mean are left alone.
constexpr double kReportedTolerance = 0.01;

/// A report further than this from what was seen is not believed.
constexpr double kBeliefTolerance = 0.25;

/// Fewer flows than this on average say nothing about balance.
constexpr double kLeastMean = 20;

/// Standard deviations of the sample within which a report agrees with it.
constexpr double kBeliefDeviations = 3;

/// Estimated load of one backend server and how exact it is.
struct Estimate
{
  double m_load = 0;
  double m_tolerance = 0;
};

/// Reported flows for each flow seen, as most backend servers agree on it.
double
ReportedPerSeen(const std::vector<LoadObservation>& aEvidence)
{
  std::vector<double> ratios;
  for (const LoadObservation& evidence : aEvidence) {
    if (evidence.m_reportedFlows && evidence.m_observedFlows > 0) {
      ratios.push_back(static_cast<double>(*evidence.m_reportedFlows) /
                       evidence.m_observedFlows);
    }
  }
  if (ratios.empty()) {
    return 1;
  }
  std::ranges::sort(ratios);
  return ratios[ratios.size() / 2];
}

Estimate
EstimateLoad(const LoadObservation& aEvidence, double aReportedPerSeen)
{
  const double seen = aEvidence.m_observedFlows;
  const double deviation = 1 / std::sqrt(std::max(seen, 1.0));
  const double expected = seen * aReportedPerSeen;
  if (aEvidence.m_reportedFlows) {
    const double reported = *aEvidence.m_reportedFlows;
    const double gap = std::abs(reported - expected);
    const double allowed = std::max(expected, kLeastMean);
    if (gap <= (kBeliefTolerance + kBeliefDeviations * deviation) * allowed) {
      return { reported, kReportedTolerance };
    }
  }
  return { expected, deviation };
}

Percent
CorrectionFor(double aRelative, double aTolerance)
{
  const double difference = 1 - aRelative;
  if (std::abs(difference) <= aTolerance) {
    return kNeutralPercent;
  }
  const double factor =
    std::clamp(1 + (kGain * difference), kLeastFactor, kMostFactor);
  return static_cast<Percent>(std::lround(factor * kNeutralPercent));
}

} // namespace

std::vector<Percent>
ComputeWeightCorrections(const std::vector<LoadObservation>& aEvidence)
{
  const double scale = ReportedPerSeen(aEvidence);
  std::vector<Estimate> estimates;
  double load = 0;
  double weight = 0;
  for (const LoadObservation& evidence : aEvidence) {
    estimates.push_back(EstimateLoad(evidence, scale));
    load += estimates.back().m_load;
    weight += evidence.m_weight;
  }
  const auto count = static_cast<double>(aEvidence.size());
  if (weight == 0 || load < kLeastMean * count) {
    return std::vector<Percent>(aEvidence.size(), kNeutralPercent);
  }
  std::vector<Percent> corrections;
  for (std::size_t i = 0; i < aEvidence.size(); ++i) {
    const double expected = load * aEvidence[i].m_weight / weight;
    const double relative = expected > 0 ? estimates[i].m_load / expected : 1;
    corrections.push_back(CorrectionFor(relative, estimates[i].m_tolerance));
  }
  return corrections;
}

} // namespace wasabiloom::health
