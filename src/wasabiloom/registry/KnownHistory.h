/// The part of the registry's history that a host knows.
#pragma once

#include <compare>
#include <cstdint>

namespace wasabiloom::registry {

/// A range of revisions: the changes after `m_from`, up to and including
/// `m_to`.
struct RevisionRange
{
  std::uint64_t m_from = 0;
  std::uint64_t m_to = 0;

  friend auto operator<=>(const RevisionRange&, const RevisionRange&) = default;
};

/// The range of revisions of which a host knows every change. Only complete
/// states and ranges of changes that follow without a gap can be added, so the
/// range never includes a change that the host has missed. Not thread safe.
class KnownHistory
{
public:
  /// Whether nothing is known yet.
  bool IsEmpty() const { return m_isEmpty; }

  /// Revision up to which all changes are known; 0 while nothing is.
  std::uint64_t End() const { return m_known.m_to; }

  /// Whether the host knows the state of the registry at `aRevision` or later:
  /// a fact of that revision is known or has been replaced since.
  bool Includes(std::uint64_t aRevision) const
  {
    return !m_isEmpty && aRevision <= m_known.m_to;
  }

  /// Whether every change after `aRevision` is known, so that they can be sent
  /// to a host that knows all changes up to it.
  bool ReachesBackTo(std::uint64_t aRevision) const
  {
    return !m_isEmpty && aRevision >= m_known.m_from;
  }

  /// Whether the changes in `aRange` follow without a gap.
  bool CanAppend(const RevisionRange& aRange) const
  {
    return Includes(aRange.m_from);
  }

  /// Adds the changes in `aRange`. Precondition: CanAppend.
  void Append(const RevisionRange& aRange);

  /// Adds the complete state at `aRevision`. If that is later than End(), the
  /// changes in between are unknown, and the range starts at `aRevision`.
  void AddState(std::uint64_t aRevision);

  /// Notes that changes up to `aRevision` are no longer recorded.
  void Forget(std::uint64_t aRevision);

  friend auto operator<=>(const KnownHistory&, const KnownHistory&) = default;

private:
  bool m_isEmpty = true;
  RevisionRange m_known;
};

} // namespace wasabiloom::registry
