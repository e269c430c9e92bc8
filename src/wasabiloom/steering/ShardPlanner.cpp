#include "wasabiloom/steering/ShardPlanner.h"

#include <algorithm>
#include <numeric>

namespace wasabiloom::steering {

namespace {

/// Number of rows that one backend server should hold, and how it is rounded.
struct Quota
{
  TargetIndex m_slot = kNoTargetIndex;
  std::uint64_t m_tieBreak = 0;
  std::uint64_t m_remainder = 0;
  std::size_t m_rows = 0;
};

/// Returns a pseudo-random score by which rows prefer backend servers
/// (rendezvous hashing); the same on every host.
std::uint64_t
Score(const ShardKey& aKey, std::size_t aRow, const TargetId& aTarget)
{
  return base::Combine(base::Combine(HashShard(aKey), aRow), aTarget.m_value);
}

/// Returns the weight after correction, in hundredths.
std::uint64_t
ShareOf(const TargetInfo& aTarget)
{
  return std::uint64_t{ aTarget.m_weight } * aTarget.m_correction;
}

/// Returns the quotas of the backend servers that take new work, rounded down;
/// empty if their weights add up to zero.
std::vector<Quota>
MakeQuotas(const ShardKey& aKey, const TargetDirectory& aDirectory)
{
  std::vector<Quota> quotas;
  std::uint64_t total = 0;
  for (std::size_t slot = 0; slot < aDirectory.Size(); ++slot) {
    const TargetInfo& info = aDirectory.At(static_cast<TargetIndex>(slot));
    if (info.m_acceptsNewWork) {
      const auto tieBreak = Score(aKey, kRowsPerShard, info.m_id);
      quotas.push_back({ static_cast<TargetIndex>(slot), tieBreak, 0, 0 });
      total += ShareOf(info);
    }
  }
  if (total == 0) {
    return {};
  }
  for (Quota& quota : quotas) {
    const std::uint64_t share =
      kRowsPerShard * ShareOf(aDirectory.At(quota.m_slot));
    quota.m_rows = share / total;
    quota.m_remainder = share % total;
  }
  return quotas;
}

/// Assigns the rows that are left after rounding down to the quotas with the
/// largest remainders.
void
DistributeRemainder(std::vector<Quota>& aQuotas)
{
  std::size_t given = 0;
  for (const Quota& quota : aQuotas) {
    given += quota.m_rows;
  }
  std::ranges::sort(aQuotas, [](const Quota& aLeft, const Quota& aRight) {
    return std::pair(aLeft.m_remainder, aLeft.m_tieBreak) >
           std::pair(aRight.m_remainder, aRight.m_tieBreak);
  });
  for (std::size_t i = 0; given < kRowsPerShard; ++i, ++given) {
    ++aQuotas[i % aQuotas.size()].m_rows;
  }
}

/// Working state of one planning run.
class Planner
{
public:
  Planner(const ShardKey& aKey,
          const ShardTable& aTable,
          const TargetDirectory& aDirectory,
          const RowFlowCounts& aLoads,
          const std::vector<Quota>& aQuotas)
    : m_key(aKey)
    , m_table(aTable)
    , m_directory(aDirectory)
    , m_loads(aLoads)
    , m_room(aDirectory.Size(), 0)
  {
    for (const Quota& quota : aQuotas) {
      m_room[quota.m_slot] = quota.m_rows;
    }
  }

  std::vector<LocalRowMove> Run()
  {
    const auto freed = KeepRowsWithinQuota();
    std::vector<LocalRowMove> moves;
    for (const std::uint16_t row : freed) {
      const TargetIndex best = BestWithRoom(row);
      --m_room[best];
      moves.push_back({ row, best });
    }
    return moves;
  }

private:
  /// Keeps as many rows on each backend server as its quota allows, those with
  /// the most flows first. Returns the rows that have to move, in ascending
  /// order.
  std::vector<std::uint16_t> KeepRowsWithinQuota()
  {
    std::vector<std::uint16_t> rows(kRowsPerShard);
    std::iota(rows.begin(), rows.end(), std::uint16_t{ 0 });
    std::ranges::sort(rows, [&](std::uint16_t aLeft, std::uint16_t aRight) {
      return std::pair(m_loads[aLeft], RowScore(aLeft)) >
             std::pair(m_loads[aRight], RowScore(aRight));
    });
    std::vector<std::uint16_t> freed;
    for (const std::uint16_t row : rows) {
      const TargetIndex slot = m_table.RowTarget(row);
      if (slot != kNoTargetIndex && m_room[slot] > 0) {
        --m_room[slot];
      } else {
        freed.push_back(row);
      }
    }
    std::ranges::sort(freed);
    return freed;
  }

  std::uint64_t RowScore(std::uint16_t aRow) const
  {
    const TargetIndex slot = m_table.RowTarget(aRow);
    return slot == kNoTargetIndex
             ? 0
             : Score(m_key, aRow, m_directory.At(slot).m_id);
  }

  /// Returns the backend server with the highest score for the row among those
  /// that hold fewer rows than their quota.
  TargetIndex BestWithRoom(std::uint16_t aRow) const
  {
    TargetIndex best = kNoTargetIndex;
    std::uint64_t bestScore = 0;
    for (std::size_t slot = 0; slot < m_room.size(); ++slot) {
      const auto candidate = static_cast<TargetIndex>(slot);
      const auto score = Score(m_key, aRow, m_directory.At(candidate).m_id);
      if (m_room[slot] > 0 && (best == kNoTargetIndex || score > bestScore)) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }

  const ShardKey& m_key;
  const ShardTable& m_table;
  const TargetDirectory& m_directory;
  const RowFlowCounts& m_loads;
  std::vector<std::size_t> m_room;
};

} // namespace

std::vector<LocalRowMove>
PlanMoves(const ShardKey& aKey,
          const ShardTable& aTable,
          const TargetDirectory& aDirectory,
          const RowFlowCounts& aLoads)
{
  auto quotas = MakeQuotas(aKey, aDirectory);
  if (quotas.empty()) {
    return {};
  }
  DistributeRemainder(quotas);
  return Planner(aKey, aTable, aDirectory, aLoads, quotas).Run();
}

} // namespace wasabiloom::steering
