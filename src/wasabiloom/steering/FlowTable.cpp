#include "wasabiloom/steering/FlowTable.h"

namespace wasabiloom::steering {

namespace {

/// Entries of the first allocation. The capacity has to be a power of two,
/// since indices are reduced with a bit mask.
constexpr std::size_t kMinCapacity = 16;

/// Share of used entries above which the table doubles. It limits the length of
/// probe sequences. A table that has just doubled is 40 % full, which is 30
/// bytes per flow.
constexpr std::size_t kMaxLoadPercent = 80;
constexpr std::size_t kPercent = 100;

bool
Matches(const FlowTable::Entry& aEntry, const FlowId& aFlow)
{
  return aEntry.m_fingerprint == aFlow.m_fingerprint &&
         aEntry.m_row == aFlow.m_row;
}

} // namespace

/// Returns the index at which the probe sequence of the flow begins.
std::size_t
FlowTable::HomeOf(const FlowId& aFlow) const
{
  // Prime close to 2^32 divided by the golden ratio, as in Fibonacci hashing.
  constexpr std::uint32_t kRowSpread = 0x9e3779b1U;
  return (aFlow.m_fingerprint ^ (aFlow.m_row * kRowSpread)) &
         (m_entries.size() - 1);
}

/// Returns the index of the entry that holds the flow, or of the free entry
/// that ends its probe sequence. Precondition: the table has a free entry.
std::size_t
FlowTable::Locate(const FlowId& aFlow) const
{
  const std::size_t mask = m_entries.size() - 1;
  std::size_t index = HomeOf(aFlow);
  while (m_entries[index].m_targetIndex != kNoTargetIndex &&
         !Matches(m_entries[index], aFlow)) {
    index = (index + 1) & mask;
  }
  return index;
}

TargetIndex
FlowTable::Find(const FlowId& aFlow) const
{
  if (m_entries.empty()) {
    return kNoTargetIndex;
  }
  return m_entries[Locate(aFlow)].m_targetIndex;
}

bool
FlowTable::Put(const FlowId& aFlow, TargetIndex aSlot, std::uint32_t aSeen)
{
  if ((m_size + 1) * kPercent > m_entries.size() * kMaxLoadPercent) {
    if (m_entries.empty() || Find(aFlow) == kNoTargetIndex) {
      Grow();
    }
  }
  Entry& entry = m_entries[Locate(aFlow)];
  const bool isNew = entry.m_targetIndex == kNoTargetIndex;
  entry = Entry{ aFlow.m_fingerprint, aFlow.m_row, aSlot, aSeen };
  m_size += isNew ? 1 : 0;
  return isNew;
}

void
FlowTable::Erase(const FlowId& aFlow)
{
  if (Find(aFlow) == kNoTargetIndex) {
    return;
  }
  // Moves later entries back into the freed one where their probe sequence
  // covers it. Lookups stop at a free entry and would miss them otherwise.
  const std::size_t mask = m_entries.size() - 1;
  std::size_t hole = Locate(aFlow);
  std::size_t next = hole;
  while (true) {
    next = (next + 1) & mask;
    const Entry& entry = m_entries[next];
    if (entry.m_targetIndex == kNoTargetIndex) {
      break;
    }
    const std::size_t home = HomeOf({ entry.m_row, entry.m_fingerprint });
    if (((next - home) & mask) >= ((next - hole) & mask)) {
      m_entries[hole] = entry;
      hole = next;
    }
  }
  m_entries[hole] = Entry{};
  --m_size;
}

void
FlowTable::Prefetch(const FlowId& aFlow) const
{
  if (!m_entries.empty()) {
    __builtin_prefetch(&m_entries[HomeOf(aFlow)], 1);
  }
}

void
FlowTable::Grow()
{
  std::vector<Entry> kept;
  kept.reserve(m_size);
  ForEach([&](const Entry& aEntry) { kept.push_back(aEntry); });
  const std::size_t capacity =
    m_entries.empty() ? kMinCapacity : m_entries.size() * 2;
  m_entries.assign(capacity, Entry{});
  Rebuild(kept);
}

void
FlowTable::Rebuild(const std::vector<Entry>& aKept)
{
  m_entries.assign(m_entries.size(), Entry{});
  for (const Entry& entry : aKept) {
    m_entries[Locate({ entry.m_row, entry.m_fingerprint })] = entry;
  }
  m_size = aKept.size();
}

} // namespace wasabiloom::steering
