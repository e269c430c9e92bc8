#include "support/Section.h"
#include "wasabiloom/steering/FlowTable.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace wasabiloom::tests {

using steering::FlowId;
using steering::FlowTable;
using steering::kNoTargetIndex;

namespace {

constexpr std::size_t kMaxBytesPerFlow = 32;

FlowId
FlowNumber(std::uint32_t aNumber)
{
  return steering::FlowIdOf(base::Mix(aNumber + 1));
}

} // namespace

TEST(FlowTable, UsesAtMost32BytesPerFlowBeyond1000Flows)
{
  FlowTable table;
  for (std::uint32_t i = 0; i < 200'000; ++i) {
    table.Put(FlowNumber(i), 1, 0);
    if (i > 1000) {
      ASSERT_LE(table.MemoryBytes(), table.Size() * kMaxBytesPerFlow) << i;
    }
  }
}

RC_GTEST_PROP(FlowTable, FindsTheSameSlotsAsAMapAfterAnyPutsAndErases, ())
{
  FlowTable table;
  std::map<FlowId, steering::TargetIndex> model;
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
    rc::gen::inRange<std::uint32_t>(0, 400));
  for (const std::uint32_t step : steps) {
    const FlowId flow = FlowNumber(step % 40);
    if (step < 240) {
      const auto slot = static_cast<steering::TargetIndex>(step);
      RC_ASSERT(table.Put(flow, slot, 0) == !model.contains(flow));
      model[flow] = slot;
    } else {
      table.Erase(flow);
      model.erase(flow);
    }
    RC_ASSERT(table.Size() == model.size());
  }
  table.EraseIf([](const FlowTable::Entry& aEntry) {
    return aEntry.m_targetIndex % 2 == 1;
  });
  std::erase_if(model, [](const auto& aItem) { return aItem.second % 2 == 1; });
  for (std::uint32_t number = 0; number < 40; ++number) {
    const auto found = model.find(FlowNumber(number));
    const auto expected = found == model.end() ? kNoTargetIndex : found->second;
    RC_ASSERT(table.Find(FlowNumber(number)) == expected);
  }
}

} // namespace wasabiloom::tests
