#include "wasabiloom/health/WeightCorrection.h"

#include <algorithm>
#include <cmath>

namespace wasabiloom::health {

namespace {

/// Change of the correction per relative difference between load and weight.
constexpr double kGain = 3;

/// Bounds of a correction, as factors of the weight.
constexpr double kLeastFactor = 0.5;
constexpr double kMostFactor = 1.5;

/// Relative differences up to this one are not corrected for a backend server
/// whose report is used.
constexpr double kReportedTolerance = 0.01;

/// Relative difference between a report and the flows seen up to which the
/// report is used, in addition to kBeliefDeviations.
constexpr double kBeliefTolerance = 0.25;

/// Average number of flows per backend server below which the sample is too
/// small to judge the balance. The difference allowed for a report is computed
/// from at least this number.
constexpr double kLeastMean = 20;

/// Standard deviations of the sample within which a report agrees with it, in
/// addition to kBeliefTolerance.
constexpr double kBeliefDeviations = 3;

/// Estimated load of one backend server, in flows, and the relative difference
/// from its weight that is left uncorrected.
struct Estimate
{
  double m_load = 0;
  double m_tolerance = 0;
};

/// Median ratio of reported flows to flows seen. The median keeps single wrong
/// reports from shifting the scale. Returns 1 without a report.
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
