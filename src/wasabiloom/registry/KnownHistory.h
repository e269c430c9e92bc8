/// The part of the registry's history that a host knows.
#pragma once

#include "wasabiloom/registry/Revision.h"

#include <compare>

namespace wasabiloom::registry {

/// A range of revisions: the changes after `m_from`, up to and including
/// `m_to`.
struct RevisionRange
{
  RegistryRevision m_from;
  RegistryRevision m_to;

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
  RegistryRevision End() const { return m_known.m_to; }

  /// Whether the host knows the state of the registry at `aRevision` or later:
  /// a fact of that revision is known or has been replaced since.
  bool Includes(const RegistryRevision& aRevision) const
  {
    return !m_isEmpty && aRevision <= m_known.m_to;
  }

  /// Whether every change after `aRevision` is known, so that they can be sent
  /// to a host that knows all changes up to it.
  bool ReachesBackTo(const RegistryRevision& aRevision) const
  {
    return !m_isEmpty && aRevision >= m_known.m_from;
  }

  /// Whether the changes in `aRange` follow without a gap. No range of changes
  /// leads from one epoch of the registry to another.
  bool CanAppend(const RevisionRange& aRange) const
  {
    return Includes(aRange.m_from) &&
           aRange.m_from.m_epoch == m_known.m_to.m_epoch &&
           aRange.m_from.m_epoch == aRange.m_to.m_epoch;
  }

  /// Adds the changes in `aRange`. Precondition: CanAppend.
  void Append(const RevisionRange& aRange);

  /// Adds the complete state at `aRevision`. If that is later than End(), the
  /// changes in between are unknown, and the range starts at `aRevision`.
  void AddState(const RegistryRevision& aRevision);

  /// Notes that changes up to `aRevision` are no longer recorded.
  void Forget(const RegistryRevision& aRevision);

  friend auto operator<=>(const KnownHistory&, const KnownHistory&) = default;

private:
  bool m_isEmpty = true;
  RevisionRange m_known;
};

} // namespace wasabiloom::registry
