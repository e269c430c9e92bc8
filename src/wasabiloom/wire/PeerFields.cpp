#include "wasabiloom/wire/PeerFields.h"

#include "wasabiloom/wire/RiceCode.h"

#include <algorithm>
#include <map>

namespace wasabiloom::wire {

namespace {

using steering::PinnedFlow;
using steering::RowMove;
using steering::TargetId;

constexpr int kFingerprintBits = 32;
constexpr std::uint64_t kFlowKeyLimit = std::uint64_t{ steering::kRowsPerShard }
                                        << kFingerprintBits;

void
PutKeys(FlowRun* aRun, const std::vector<std::uint64_t>& aKeys)
{
  const RiceCoded coded = RiceEncode(aKeys);
  aRun->set_count(coded.m_count);
  aRun->set_rice_bits(coded.m_lowBits);
  aRun->set_deltas(coded.m_bytes);
}

} // namespace

void
Require(bool aCondition)
{
  if (!aCondition) {
    throw Malformed();
  }
}

void
Put(Shard* aOut, const steering::ShardKey& aKey)
{
  aOut->set_service(aKey.m_service.m_value);
  aOut->set_shard(aKey.m_shard);
}

steering::ShardKey
Get(const Shard& aIn)
{
  Require(aIn.shard() < steering::kShardsPerService);
  return { { aIn.service() }, static_cast<std::uint8_t>(aIn.shard()) };
}

void
Put(TableVersion* aOut, const steering::TableVersion& aVersion)
{
  aOut->set_term(aVersion.m_term);
  aOut->set_sequence(aVersion.m_sequence);
  aOut->set_owner(aVersion.m_owner.m_value);
}

steering::TableVersion
Get(const TableVersion& aIn)
{
  return { aIn.term(), aIn.sequence(), { aIn.owner() } };
}

void
Put(FlowRuns* aOut, const std::vector<PinnedFlow>& aFlows)
{
  std::map<TargetId, std::vector<std::uint64_t>> byTarget;
  for (const PinnedFlow& flow : aFlows) {
    const std::uint64_t row = flow.m_flow.m_row;
    byTarget[flow.m_target].push_back((row << kFingerprintBits) |
                                      flow.m_flow.m_fingerprint);
  }
  for (auto& [target, keys] : byTarget) {
    std::ranges::sort(keys);
    FlowRun* run = aOut->Add();
    run->set_target(target.m_value);
    PutKeys(run, keys);
  }
}

std::vector<PinnedFlow>
Get(const FlowRuns& aIn)
{
  std::vector<PinnedFlow> flows;
  for (const FlowRun& run : aIn) {
    const auto keys =
      RiceDecode({ run.rice_bits(), run.count(), run.deltas() });
    Require(keys.has_value());
    for (const std::uint64_t key : *keys) {
      Require(key < kFlowKeyLimit);
      const auto row = static_cast<std::uint16_t>(key >> kFingerprintBits);
      const auto fingerprint = static_cast<std::uint32_t>(key);
      flows.push_back({ { row, fingerprint }, { run.target() } });
    }
  }
  std::ranges::sort(flows);
  return flows;
}

void
Put(RowRuns* aOut, const std::vector<RowMove>& aMoves)
{
  std::map<TargetId, std::vector<std::uint32_t>> byTarget;
  for (const RowMove& move : aMoves) {
    byTarget[move.m_target].push_back(move.m_row);
  }
  for (auto& [target, rows] : byTarget) {
    std::ranges::sort(rows);
    RowRun* run = aOut->Add();
    run->set_target(target.m_value);
    std::uint32_t last = 0;
    for (const std::uint32_t row : rows) {
      run->add_deltas(row - last);
      last = row;
    }
  }
}

std::vector<RowMove>
Get(const RowRuns& aIn)
{
  std::vector<RowMove> moves;
  for (const RowRun& run : aIn) {
    std::uint32_t row = 0;
    for (const std::uint32_t delta : run.deltas()) {
      Require(delta < steering::kRowsPerShard);
      row += delta;
      Require(row < steering::kRowsPerShard);
      moves.push_back({ static_cast<std::uint16_t>(row), { run.target() } });
    }
  }
  std::ranges::sort(moves);
  const auto sameRow = [](const RowMove& aLeft, const RowMove& aRight) {
    return aLeft.m_row == aRight.m_row;
  };
  Require(std::ranges::adjacent_find(moves, sameRow) == moves.end());
  return moves;
}

} // namespace wasabiloom::wire
