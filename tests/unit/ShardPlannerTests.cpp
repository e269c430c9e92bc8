#include "support/SampleBundle.h"
#include "support/Section.h"
#include "wasabiloom/steering/ShardPlanner.h"

#include <algorithm>
#include <map>

namespace wasabiloom::tests {

using namespace steering;

namespace {

std::map<std::string, std::size_t>
RowsByTarget(const std::vector<ShardTable>& aTables,
             const TargetDirectory& aDirectory)
{
  std::map<std::string, std::size_t> rows;
  for (const ShardTable& table : aTables) {
    for (std::size_t row = 0; row < kRowsPerShard; ++row) {
      ++rows[aDirectory.At(table.RowTarget(row)).m_name];
    }
  }
  return rows;
}

std::size_t
Plan(std::vector<ShardTable>& aTables, const TargetDirectory& aDirectory)
{
  std::size_t moved = 0;
  for (std::size_t shard = 0; shard < aTables.size(); ++shard) {
    const ShardKey key{ { 1 }, static_cast<std::uint8_t>(shard) };
    for (const LocalRowMove& move :
         PlanMoves(key, aTables[shard], aDirectory)) {
      aTables[shard].SetRow(move.m_row, move.m_targetIndex);
      ++moved;
    }
  }
  return moved;
}

} // namespace

TEST(ShardPlanner, DistributesRowsByWeightAndMovesFewOfThem)
{
  auto service = SampleService("desk", 14);
  TargetDirectory directory;
  std::vector<ShardTable> tables(kShardsPerService);
  const auto adopt = [&] {
    directory.UpdateFromBundle(SampleBundle(1, { service }), service);
    return Plan(tables, directory);
  };
  constexpr std::size_t kAllRows = kShardsPerService * kRowsPerShard;

  Section(
    "the first plan assigns every row and distributes the rows evenly", [&] {
      EXPECT_EQ(adopt(), kAllRows);
      for (const auto& [name, rows] : RowsByTarget(tables, directory)) {
        EXPECT_NEAR(static_cast<double>(rows), kAllRows / 14.0, 8.0) << name;
      }
      EXPECT_EQ(adopt(), 0U);
    });
  Section("a draining backend server loses all its rows and few others move",
          [&] {
            const auto before = RowsByTarget(tables, directory)["desk-3"];
            service.m_targets[2].m_state = bundle::TargetState::Draining;
            const std::size_t moved = adopt();
            EXPECT_EQ(RowsByTarget(tables, directory).count("desk-3"), 0U);
            EXPECT_LE(moved, before + kShardsPerService * 14);
          });
  Section("a backend server with twice the weight gets twice the rows", [&] {
    service.m_targets[0].m_weight = 200;
    adopt();
    const auto rows = RowsByTarget(tables, directory);
    EXPECT_NEAR(static_cast<double>(rows.at("desk-1")),
                2.0 * static_cast<double>(rows.at("desk-2")),
                16.0);
  });
  Section("no row moves when every backend server is draining", [&] {
    for (auto& target : service.m_targets) {
      target.m_state = bundle::TargetState::Draining;
    }
    EXPECT_EQ(adopt(), 0U);
  });
}

} // namespace wasabiloom::tests
