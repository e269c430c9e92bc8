/// The current configuration, with the revision at which each part of it last
/// changed.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/registry/Facts.h"

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
/// older version or to an older revision of a route. Not thread safe: use it
/// from one thread at a time.
class RouteTable
{
public:
  /// Applies a complete version that was published at `aRevision`. An unchanged
  /// route counts as changed unless `aOrigin` is Watch: it may have been
  /// different in a version that this host missed.
  FactOutcome Adopt(const Configuration& aConfiguration,
                    std::uint64_t aRevision,
                    Origin aOrigin,
                    base::Instant aNow);

  /// Applies the global configuration of a version whose changed routes are
  /// applied one by one.
  FactOutcome Adopt(const GlobalConfiguration& aTerms, std::uint64_t aRevision);

  /// Applies one route that changed at `aRevision`; `aOrigin` has the same
  /// meaning as for a complete version.
  FactOutcome Adopt(const Route& aRoute,
                    std::uint64_t aRevision,
                    Origin aOrigin);

  /// Removes the route at `aAddress`, as published at `aRevision`. The removal
  /// is recorded until Forget drops it, so that older facts can't undo it.
  FactOutcome Remove(const base::Endpoint& aAddress,
                     std::uint64_t aRevision,
                     base::Instant aNow);

  /// Returns the route at `aAddress`, or null.
  const Route* Find(const base::Endpoint& aAddress) const;

  /// Returns the current version without its routes.
  const GlobalConfiguration& Global() const { return m_terms; }

  /// Returns the current version with its routes, sorted by address.
  Configuration FullConfiguration() const;

  /// Returns the revision at which the current version was published.
  std::uint64_t Revision() const { return m_revision; }

  /// Appends the global configuration and the routes, removed ones included,
  /// that changed after `aRevision`.
  void AppendChanges(std::uint64_t aRevision, std::vector<Fact>& aFacts) const;

  /// Drops the records of routes that were removed before `aBefore`; returns
  /// the latest revision among them, or 0.
  std::uint64_t Forget(base::Instant aBefore);

private:
  struct Entry
  {
    Route m_route;
    std::uint64_t m_revision = 0;
    bool m_removed = false;
    base::Instant m_removedAt;
  };

  GlobalConfiguration m_terms;
  std::uint64_t m_revision = 0;
  std::unordered_map<std::uint64_t, Entry> m_entries;
  std::size_t m_removed = 0;
};

} // namespace wasabiloom::registry
