/// Compact map from flows to target slots.
#pragma once

#include "wasabiloom/steering/Types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wasabiloom::steering {

/// Open-addressing table of 12-byte entries. One thread at a time. Finding
/// and touching an entry allocates nothing; inserting may grow the table.
class FlowTable
{
public:
  /// One stored flow; `m_seen` is in seconds of the driver's clock.
  struct Entry
  {
    std::uint32_t m_fingerprint = 0;
    std::uint16_t m_row = 0;
    TargetIndex m_targetIndex = kNoTargetIndex;
    std::uint32_t m_lastSeenSeconds = 0;
  };

  /// Slot of `aFlow`, or kNoSlot.
  TargetIndex Find(const FlowId& aFlow) const;

  /// Stores `aFlow`, replacing what it had. Precondition: `aSlot` is not
  /// kNoSlot. Returns true when the flow was not stored before.
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

  /// Bytes of memory the entries occupy.
  std::size_t MemoryBytes() const { return m_entries.size() * sizeof(Entry); }

  /// Hints the processor to load the entry of `aFlow`.
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
