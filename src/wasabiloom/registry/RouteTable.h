/// The configuration in force, with the revision at which each part changed.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/registry/Facts.h"

#include <unordered_map>

namespace wasabiloom::registry {

/// What came of a fact.
enum class FactOutcome : std::uint8_t
{
  /// Nothing new.
  Unchanged,
  /// The belief changed.
  Adopted,
  /// Older than what is believed.
  Stale,
  /// Could not be understood and was left aside.
  SetAside,
};

/// Name of `aOutcome` for logs. Thread safe.
std::string_view
ToString(FactOutcome aOutcome);

/// Routes by address, and the terms of the version in force. Takes whole
/// versions and single routes, and never goes back. One thread at a time.
class RouteTable
{
public:
  /// Adopts a whole version that was published at `aRevision`. A route that
  /// stays as it was counts as changed unless `aOrigin` is Watch: in a version
  /// that was not seen it may have been another.
  FactOutcome Adopt(const Configuration& aConfiguration,
                    std::uint64_t aRevision,
                    Origin aOrigin,
                    base::Instant aNow);

  /// Adopts a version whose changed routes come one by one.
  FactOutcome Adopt(const GlobalConfiguration& aTerms, std::uint64_t aRevision);

  /// Adopts one route, or its removal, that changed at `aRevision`.
  FactOutcome Adopt(const Route& aRoute,
                    std::uint64_t aRevision,
                    Origin aOrigin);
  FactOutcome Remove(const base::Endpoint& aAddress,
                     std::uint64_t aRevision,
                     base::Instant aNow);

  /// Route at `aAddress`, or null.
  const Route* Find(const base::Endpoint& aAddress) const;

  const GlobalConfiguration& Global() const { return m_terms; }

  /// The version in force, routes by address.
  Configuration FullConfiguration() const;

  /// Revision at which the version in force was published.
  std::uint64_t Revision() const { return m_revision; }

  /// Appends the terms and routes that changed after `aRevision`.
  void AppendChanges(std::uint64_t aRevision, std::vector<Fact>& aFacts) const;

  /// Forgets routes that were removed before `aBefore`; returns the latest
  /// revision of those, or 0.
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
