#include "support/Section.h"
#include "wasabiloom/health/Correction.h"

namespace wasabiloom::tests {

using health::Corrections;
using health::kNeutral;
using health::LoadEvidence;

namespace {

std::vector<LoadEvidence>
Equal(std::size_t aCount)
{
  return std::vector<LoadEvidence>(aCount, { 100, 1000, 500 });
}

} // namespace

TEST(Corrections, FollowReportsThatCanBeBelieved)
{
  Section("equal loads need none", [] {
    for (const auto correction : Corrections(Equal(5))) {
      EXPECT_EQ(correction, kNeutral);
    }
  });
  Section("a backend server with fewer flows gets more new ones", [] {
    auto evidence = Equal(5);
    evidence[2] = { 100, 900, 450 };
    const auto corrections = Corrections(evidence);
    EXPECT_GT(corrections[2], kNeutral);
    EXPECT_LT(corrections[0], kNeutral);
  });
  Section("twice the weight may carry twice the flows", [] {
    auto evidence = Equal(5);
    evidence[1] = { 200, 2000, 1000 };
    EXPECT_EQ(Corrections(evidence)[1], kNeutral);
  });
}

TEST(Corrections, IgnoreReportsThatLie)
{
  for (const std::uint32_t lie : { 0U, 100U, 5000U, 4'000'000'000U }) {
    Section("a report of " + std::to_string(lie) + " flows", [&] {
      auto evidence = Equal(5);
      evidence[3].m_reported = lie;
      for (const auto correction : Corrections(evidence)) {
        EXPECT_EQ(correction, kNeutral);
      }
    });
  }
}

TEST(Corrections, DoWithoutReports)
{
  auto evidence = Equal(5);
  for (LoadEvidence& item : evidence) {
    item.m_reported.reset();
  }
  Section("small differences are taken for noise", [&] {
    evidence[0].m_seen = 510;
    EXPECT_EQ(Corrections(evidence)[0], kNeutral);
  });
  Section("large ones are corrected", [&] {
    evidence[0].m_seen = 100;
    EXPECT_GT(Corrections(evidence)[0], kNeutral);
  });
  Section("a handful of flows proves nothing", [] {
    const std::vector<LoadEvidence> few = { { 100, 1, 1 }, { 100, 5, 4 } };
    EXPECT_EQ(Corrections(few), (std::vector{ kNeutral, kNeutral }));
  });
}

} // namespace wasabiloom::tests
