#include "wasabiloom/steering/ShardTable.h"

namespace wasabiloom::steering {

ShardTable::ShardTable()
{
  m_rows.fill(kNoTargetIndex);
}

ShardTable::LookupResult
ShardTable::Lookup(const FlowId& aFlow) const
{
  if (m_rowsWithPins.test(aFlow.m_row)) {
    const TargetIndex slot = m_pinned.Find(aFlow);
    if (slot != kNoTargetIndex) {
      return { slot, true };
    }
  }
  return { m_rows[aFlow.m_row], false };
}

void
ShardTable::Unpin(const RowSet& aRows)
{
  m_pinned.EraseIf(
    [&](const FlowTable::Entry& aEntry) { return aRows.test(aEntry.m_row); });
  m_rowsWithPins &= ~aRows;
}

void
ShardTable::Pin(const FlowId& aFlow, TargetIndex aSlot)
{
  if (m_rows[aFlow.m_row] == aSlot) {
    return;
  }
  m_pinned.Put(aFlow, aSlot, 0);
  m_rowsWithPins.set(aFlow.m_row);
}

} // namespace wasabiloom::steering
