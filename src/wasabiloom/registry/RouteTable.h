/// The current configuration, with the revision at which each part of it last
/// changed.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/registry/Facts.h"
#include "wasabiloom/registry/KnownHistory.h"

#include <unordered_map>

namespace wasabiloom::registry {

/// Result of applying a fact.
enum class FactOutcome : std::uint8_t
{
  /// The fact told nothing new.
  Unchanged,
  /// The fact was applied and changed the known state.
  Adopted,
  /// The fact is older than what is known.
  Stale,
  /// The value is malformed or not applicable and was ignored.
  SetAside,
};

/// Returns the name of `aOutcome` for logs. Thread safe.
std::string_view
ToString(FactOutcome aOutcome);

/// The routes by address and the global configuration of the current version.
/// Applies complete versions as well as single routes, and never returns to an
/// older version or to an older revision of a route. A version stays in force
/// when the registry is restored to a state that holds an older one. Not thread
/// safe: use it from one thread at a time.
class RouteTable
{
public:
  /// Applies a complete version that was published at `aRevision`. Unless
  /// `aOrigin` is Watch, versions before it may have been missed: the changes
  /// of its routes since earlier revisions are then unknown.
  FactOutcome Adopt(const Configuration& aConfiguration,
                    const RegistryRevision& aRevision,
                    Origin aOrigin,
                    base::Instant aNow);

  /// Applies the global configuration of a version whose changed routes are
  /// applied one by one.
  FactOutcome Adopt(const GlobalConfiguration& aTerms,
                    const RegistryRevision& aRevision);

  /// Applies one route that changed at `aRevision`. Stale if the routes of that
  /// revision are all known.
  FactOutcome Adopt(const Route& aRoute, const RegistryRevision& aRevision);

  /// Removes the route at `aAddress`, as published at `aRevision`. The removal
  /// is recorded until Forget drops it, so that older facts can't undo it.
  FactOutcome Remove(const base::Endpoint& aAddress,
                     const RegistryRevision& aRevision,
                     base::Instant aNow);

  /// Notes that all changed routes of the current version have been applied.
  void NoteComplete();

  /// Returns the route at `aAddress`, or null.
  const Route* Find(const base::Endpoint& aAddress) const;

  /// Returns the current version without its routes.
  const GlobalConfiguration& Global() const { return m_terms; }

  /// Returns the current version with its routes, sorted by address.
  Configuration FullConfiguration() const;

  /// Returns the revision at which the current version was published.
  RegistryRevision Revision() const { return m_revision; }

  /// Whether the current version is not one that was received from the
  /// registry's epoch `aEpoch`: changes of single routes in that epoch may not
  /// be based on it.
  bool IsKept(std::uint64_t aEpoch) const
  {
    return m_isKept || m_revision.m_epoch != aEpoch;
  }

  /// Appends the global configuration and the routes, removed ones included,
  /// that changed after `aRevision`; the complete version if those changes are
  /// not all known.
  void AppendChanges(const RegistryRevision& aRevision,
                     std::vector<Fact>& aFacts) const;

  /// Drops the records of routes that were removed before `aBefore`; returns
  /// the latest revision among them, or 0.
  RegistryRevision Forget(base::Instant aBefore);

private:
  struct Entry
  {
    Route m_route;
    RegistryRevision m_revision;
    bool m_removed = false;
    base::Instant m_removedAt;
  };

  FactOutcome Apply(const Route& aRoute,
                    const RegistryRevision& aRevision,
                    Origin aOrigin);
  FactOutcome ApplyRemoval(const base::Endpoint& aAddress,
                           const RegistryRevision& aRevision,
                           base::Instant aNow);

  GlobalConfiguration m_terms;
  RegistryRevision m_revision;
  /// Changes of routes that are known: up to the current version, or up to the
  /// one before it while its parts are being applied.
  KnownHistory m_history;
  /// Whether the registry's present epoch was seen to hold an older version.
  bool m_isKept = false;
  std::unordered_map<std::uint64_t, Entry> m_entries;
  std::size_t m_removed = 0;
};

} // namespace wasabiloom::registry
