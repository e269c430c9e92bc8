#include "support/Section.h"
#include "wasabiloom/health/WeightCorrection.h"

namespace wasabiloom::tests {

using health::ComputeWeightCorrections;
using health::kNeutralPercent;
using health::LoadObservation;

namespace {

std::vector<LoadObservation>
Equal(std::size_t aCount)
{
  return std::vector<LoadObservation>(aCount, { 100, 1000, 500 });
}

} // namespace

TEST(WeightCorrection, FollowReportsThatAgreeWithTheFlowsSeen)
{
  Section("equal loads are not corrected", [] {
    for (const auto correction : ComputeWeightCorrections(Equal(5))) {
      EXPECT_EQ(correction, kNeutralPercent);
    }
  });
  Section("a backend server with fewer flows gets more new flows", [] {
    auto evidence = Equal(5);
    evidence[2] = { 100, 900, 450 };
    const auto corrections = ComputeWeightCorrections(evidence);
    EXPECT_GT(corrections[2], kNeutralPercent);
    EXPECT_LT(corrections[0], kNeutralPercent);
  });
  Section("a backend server with twice the weight and twice the flows is not "
          "corrected",
          [] {
            auto evidence = Equal(5);
            evidence[1] = { 200, 2000, 1000 };
            EXPECT_EQ(ComputeWeightCorrections(evidence)[1], kNeutralPercent);
          });
}

TEST(WeightCorrection, IgnoreReportsThatContradictTheFlowsSeen)
{
  for (const std::uint32_t lie : { 0U, 100U, 5000U, 4'000'000'000U }) {
    Section("a report of " + std::to_string(lie) + " flows", [&] {
      auto evidence = Equal(5);
      evidence[3].m_reportedFlows = lie;
      for (const auto correction : ComputeWeightCorrections(evidence)) {
        EXPECT_EQ(correction, kNeutralPercent);
      }
    });
  }
}

TEST(WeightCorrection, CompareTheFlowsSeenWithoutReports)
{
  auto evidence = Equal(5);
  for (LoadObservation& item : evidence) {
    item.m_reportedFlows.reset();
  }
  Section("small differences are treated as noise", [&] {
    evidence[0].m_observedFlows = 510;
    EXPECT_EQ(ComputeWeightCorrections(evidence)[0], kNeutralPercent);
  });
  Section("large differences are corrected", [&] {
    evidence[0].m_observedFlows = 100;
    EXPECT_GT(ComputeWeightCorrections(evidence)[0], kNeutralPercent);
  });
  Section("a few flows are too small a sample for a correction", [] {
    const std::vector<LoadObservation> few = { { 100, 1, 1 }, { 100, 5, 4 } };
    EXPECT_EQ(ComputeWeightCorrections(few),
              (std::vector{ kNeutralPercent, kNeutralPercent }));
  });
}

} // namespace wasabiloom::tests
