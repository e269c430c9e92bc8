/// Revisions of the registry, and what a host knows about the restore that
/// began the registry's current epoch.
#pragma once

#include "wasabiloom/base/Time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace wasabiloom::registry {

/// A point in the registry's history, ordered by epoch first. A registry that
/// is restored from a copy begins a new epoch and assigns its revision numbers
/// again, so that numbers of different epochs mean nothing to each other.
struct RegistryRevision
{
  /// Epoch that the registry's answer named; 0 if it named none.
  std::uint64_t m_epoch = 0;
  /// Increases with every change in the registry within an epoch.
  std::uint64_t m_number = 0;

  constexpr RegistryRevision() = default;
  /// A revision of a registry that names no epochs. Implicit, as it is a plain
  /// number there.
  constexpr RegistryRevision(std::uint64_t aNumber)
    : m_number(aNumber)
  {
  }
  constexpr RegistryRevision(std::uint64_t aEpoch, std::uint64_t aNumber)
    : m_epoch(aEpoch)
    , m_number(aNumber)
  {
  }

  friend constexpr auto operator<=>(const RegistryRevision&,
                                    const RegistryRevision&) = default;
};

/// Returns the number of `aRevision` for logs, after its epoch and a colon if
/// it has one. Thread safe.
std::string
ToString(const RegistryRevision& aRevision);

/// Time after the start of an epoch for which facts of the epoch before it are
/// kept in spite of the restored state. It is longer than the two seconds or so
/// after which servers have registered again, and than the bounds within which
/// an operator's changes are in force; it leaves time to write them again.
constexpr base::Duration kKeptFor = std::chrono::seconds(30);

/// Time after the start of an epoch during which missing servers count as
/// lapsed and not as gone.
constexpr base::Duration kReturnTime = std::chrono::seconds(5);

/// The start of the registry's current epoch, as far as known here. Not thread
/// safe.
class EpochStart
{
public:
  /// Notes that the registry was in the epoch of `aRevision` at `aRevision`,
  /// and that hosts have known this epoch since `aSince`. Has no effect for an
  /// earlier epoch than the known one. Returns whether the epoch is later than
  /// the known one.
  bool Note(const RegistryRevision& aRevision, base::Instant aSince);

  std::uint64_t Epoch() const { return m_revision.m_epoch; }

  /// Earliest revision of the epoch that is known to have been reached.
  const RegistryRevision& First() const { return m_revision; }

  /// When the first host is known to have learned of the epoch.
  base::Instant Since() const { return m_since; }

  /// Whether a value that changed at `aRevision` may be one of the restored
  /// state. A later value of the epoch was written after the restore.
  bool MayBeRestored(const RegistryRevision& aRevision) const
  {
    return aRevision.m_epoch == m_revision.m_epoch && aRevision <= m_revision;
  }

  /// Whether facts of earlier epochs are still kept.
  bool Keeps(base::Instant aNow) const
  {
    return Epoch() > 0 && aNow - m_since <= kKeptFor;
  }

  /// Whether a value of an earlier epoch, known at `aEarlier`, is kept in spite
  /// of the one at `aRestored`, which may be of the restored state.
  bool Keeps(const RegistryRevision& aEarlier,
             const RegistryRevision& aRestored,
             base::Instant aNow) const
  {
    return aEarlier.m_epoch < aRestored.m_epoch && Keeps(aNow) &&
           MayBeRestored(aRestored);
  }

  /// Whether servers that the restored state lacks may still register again.
  bool AwaitsServers(base::Instant aNow) const
  {
    return Epoch() > 0 && aNow - m_since <= kReturnTime;
  }

private:
  RegistryRevision m_revision;
  base::Instant m_since;
};

} // namespace wasabiloom::registry
