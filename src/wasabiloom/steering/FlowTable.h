/// Compact hash table from flows to target slots.
#pragma once

#include "wasabiloom/steering/Types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wasabiloom::steering {

/// Hash table with open addressing, linear probing and 12-byte entries. Lookups
/// and updates of stored flows allocate no memory; inserting a flow may grow
/// the table. Not thread safe.
class FlowTable
{
public:
  /// One stored flow. `m_lastSeenSeconds` is the time of its last packet in
  /// seconds (see ToSeconds), or 0 in tables that do not track it.
  struct Entry
  {
    std::uint32_t m_fingerprint = 0;
    std::uint16_t m_row = 0;
    TargetIndex m_targetIndex = kNoTargetIndex;
    std::uint32_t m_lastSeenSeconds = 0;
  };

  /// Returns the slot of `aFlow`, or kNoTargetIndex if the flow is not stored.
  TargetIndex Find(const FlowId& aFlow) const;

  /// Inserts `aFlow` or replaces its entry. Returns true if the flow was not
  /// stored before. Precondition: `aSlot` is not kNoTargetIndex.
  bool Put(const FlowId& aFlow, TargetIndex aSlot, std::uint32_t aSeen);

  /// Removes `aFlow` if it is stored.
  void Erase(const FlowId& aFlow);

  /// Removes every entry for which `aPredicate(entry)` holds.
  template<typename Predicate>
  void EraseIf(const Predicate& aPredicate)
  {
    std::vector<Entry> kept;
    bool dropped = false;
    for (const Entry& entry : m_entries) {
      if (entry.m_targetIndex == kNoTargetIndex) {
        continue;
      }
      if (aPredicate(entry)) {
        dropped = true;
      } else {
        kept.push_back(entry);
      }
    }
    if (dropped) {
      Rebuild(kept);
    }
  }

  /// Calls `aVisit(entry)` for every entry, in no particular order.
  template<typename Visit>
  void ForEach(const Visit& aVisit) const
  {
    for (const Entry& entry : m_entries) {
      if (entry.m_targetIndex != kNoTargetIndex) {
        aVisit(entry);
      }
    }
  }

  /// Number of stored flows.
  std::size_t Size() const { return m_size; }

  /// Memory that the entries occupy, free ones included, in bytes.
  std::size_t MemoryBytes() const { return m_entries.size() * sizeof(Entry); }

  /// Prefetches the first entry of the probe sequence of `aFlow` into the CPU
  /// cache.
  void Prefetch(const FlowId& aFlow) const;

private:
  std::size_t HomeOf(const FlowId& aFlow) const;
  std::size_t Locate(const FlowId& aFlow) const;
  void Grow();
  void Rebuild(const std::vector<Entry>& aKept);

  std::vector<Entry> m_entries;
  std::size_t m_size = 0;
};

} // namespace wasabiloom::steering
