#include "wasabiloom/registry/RouteTable.h"

#include <algorithm>
#include <unordered_set>

namespace wasabiloom::registry {

std::string_view
ToString(FactOutcome aOutcome)
{
  switch (aOutcome) {
    case FactOutcome::Unchanged:
      return "unchanged";
    case FactOutcome::Adopted:
      return "adopted";
    case FactOutcome::Stale:
      return "stale";
    case FactOutcome::SetAside:
      return "set_aside";
  }
  return "unlisted";
}

FactOutcome
RouteTable::Adopt(const GlobalConfiguration& aTerms, std::uint64_t aRevision)
{
  if (aTerms.m_version < m_terms.m_version) {
    return FactOutcome::Stale;
  }
  if (aTerms.m_version == m_terms.m_version) {
    m_revision = std::max(m_revision, aRevision);
    return FactOutcome::Unchanged;
  }
  m_terms = aTerms;
  m_revision = aRevision;
  return FactOutcome::Adopted;
}

FactOutcome
RouteTable::Adopt(const Configuration& aConfiguration,
                  std::uint64_t aRevision,
                  Origin aOrigin,
                  base::Instant aNow)
{
  const FactOutcome outcome = Adopt({ aConfiguration.m_version,
                                      aConfiguration.m_services,
                                      aConfiguration.m_idleTimeout },
                                    aRevision);
  if (outcome == FactOutcome::Stale) {
    return outcome;
  }
  // The routes of a known version are compared too: this host may have put
  // them together from parts.
  bool hasChanged = outcome == FactOutcome::Adopted;
  std::unordered_set<std::uint64_t> named;
  named.reserve(aConfiguration.m_routes.size());
  for (const Route& route : aConfiguration.m_routes) {
    // The first of several routes at one address is used.
    if (named.insert(base::Pack(route.m_address)).second) {
      hasChanged |= Apply(route, aRevision, aOrigin) == FactOutcome::Adopted;
    }
  }
  for (const auto& [address, entry] : m_entries) {
    if (!entry.m_removed && !named.contains(address)) {
      hasChanged |= ApplyRemoval(entry.m_route.m_address, aRevision, aNow) ==
                    FactOutcome::Adopted;
    }
  }
  if (aOrigin != Origin::Watch) {
    m_history.AddState(m_revision);
  }
  NoteComplete();
  return hasChanged ? FactOutcome::Adopted : FactOutcome::Unchanged;
}

FactOutcome
RouteTable::Adopt(const Route& aRoute, std::uint64_t aRevision)
{
  if (m_history.Includes(aRevision)) {
    return FactOutcome::Stale;
  }
  return Apply(aRoute, aRevision, Origin::Peer);
}

FactOutcome
RouteTable::Apply(const Route& aRoute, std::uint64_t aRevision, Origin aOrigin)
{
  const auto [slot, isNew] =
    m_entries.try_emplace(base::Pack(aRoute.m_address));
  Entry& entry = slot->second;
  if (!isNew && aRevision < entry.m_revision) {
    return FactOutcome::Stale;
  }
  if (!isNew && !entry.m_removed && entry.m_route == aRoute) {
    if (aOrigin != Origin::Watch) {
      entry.m_revision = aRevision;
    }
    return FactOutcome::Unchanged;
  }
  m_removed -= entry.m_removed ? 1 : 0;
  entry = { aRoute, aRevision, false, {} };
  return FactOutcome::Adopted;
}

FactOutcome
RouteTable::Remove(const base::Endpoint& aAddress,
                   std::uint64_t aRevision,
                   base::Instant aNow)
{
  if (m_history.Includes(aRevision)) {
    return FactOutcome::Stale;
  }
  return ApplyRemoval(aAddress, aRevision, aNow);
}

FactOutcome
RouteTable::ApplyRemoval(const base::Endpoint& aAddress,
                         std::uint64_t aRevision,
                         base::Instant aNow)
{
  // The removal of an unknown route is recorded too: an older fact with that
  // route may still arrive.
  const auto [slot, isNew] = m_entries.try_emplace(base::Pack(aAddress));
  Entry& entry = slot->second;
  if (aRevision < entry.m_revision) {
    return FactOutcome::Stale;
  }
  const bool wasThere = !isNew && !entry.m_removed;
  m_removed += entry.m_removed ? 0 : 1;
  entry.m_route.m_address = aAddress;
  // A route that was removed before may have been there in between on other
  // hosts, which then need this removal.
  entry.m_revision = aRevision;
  entry.m_removed = true;
  entry.m_removedAt = aNow;
  return wasThere ? FactOutcome::Adopted : FactOutcome::Unchanged;
}

void
RouteTable::NoteComplete()
{
  if (m_history.IsEmpty()) {
    m_history.AddState(m_revision);
  } else {
    m_history.Append({ m_history.End(), m_revision });
  }
}

const Route*
RouteTable::Find(const base::Endpoint& aAddress) const
{
  const auto found = m_entries.find(base::Pack(aAddress));
  return found == m_entries.end() || found->second.m_removed
           ? nullptr
           : &found->second.m_route;
}

Configuration
RouteTable::FullConfiguration() const
{
  Configuration whole{
    m_terms.m_version, {}, m_terms.m_services, m_terms.m_idleTimeout
  };
  for (const auto& [address, entry] : m_entries) {
    if (!entry.m_removed) {
      whole.m_routes.push_back(entry.m_route);
    }
  }
  std::ranges::sort(whole.m_routes, {}, &Route::m_address);
  return whole;
}

void
RouteTable::AppendChanges(std::uint64_t aRevision,
                          std::vector<Fact>& aFacts) const
{
  if (m_revision <= aRevision) {
    return;
  }
  if (!m_history.ReachesBackTo(aRevision)) {
    aFacts.push_back(
      { FactKind::Configuration, "", m_revision, FullConfiguration() });
    return;
  }
  aFacts.push_back({ FactKind::Configuration, "", m_revision, m_terms });
  for (const auto& [address, entry] : m_entries) {
    if (entry.m_revision <= aRevision) {
      continue;
    }
    const std::string name = ToString(entry.m_route.m_address);
    const FactContent content =
      entry.m_removed ? FactContent(Removed{}) : FactContent(entry.m_route);
    aFacts.push_back({ FactKind::Route, name, entry.m_revision, content });
  }
}

std::uint64_t
RouteTable::Forget(base::Instant aBefore)
{
  std::uint64_t latest = 0;
  if (m_removed == 0) {
    return latest;
  }
  std::erase_if(m_entries, [&](const auto& aOne) {
    const Entry& entry = aOne.second;
    const bool forget = entry.m_removed && entry.m_removedAt < aBefore;
    if (forget) {
      latest = std::max(latest, entry.m_revision);
      --m_removed;
    }
    return forget;
  });
  return latest;
}

} // namespace wasabiloom::registry
