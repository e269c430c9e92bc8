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
RouteTable::Adopt(const GlobalConfiguration& aTerms,
                  const RegistryRevision& aRevision)
{
  if (aTerms.m_version < m_terms.m_version) {
    m_isKept = m_isKept || aRevision.m_epoch > m_revision.m_epoch;
    return FactOutcome::Stale;
  }
  m_isKept = false;
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
                  const RegistryRevision& aRevision,
                  Origin aOrigin,
                  base::Instant aNow)
{
  // A version of an earlier epoch was kept by another host, and replaces an
  // older one of the restored state from now on.
  const bool isKeptByPeer = aRevision.m_epoch < m_revision.m_epoch;
  const RegistryRevision revision = isKeptByPeer ? m_revision : aRevision;
  const bool hasOtherBase = IsKept(aRevision.m_epoch);
  const FactOutcome outcome = Adopt({ aConfiguration.m_version,
                                      aConfiguration.m_services,
                                      aConfiguration.m_idleTimeout },
                                    revision);
  const bool isRewritten = isKeptByPeer && outcome != FactOutcome::Adopted;
  if (outcome == FactOutcome::Stale || isRewritten) {
    return outcome;
  }
  m_isKept = isKeptByPeer;
  // The routes of a known version are compared too: this host may have put
  // them together from parts.
  bool hasChanged = outcome == FactOutcome::Adopted;
  std::unordered_set<std::uint64_t> named;
  named.reserve(aConfiguration.m_routes.size());
  for (const Route& route : aConfiguration.m_routes) {
    // The first of several routes at one address is used.
    if (named.insert(base::Pack(route.m_address)).second) {
      hasChanged |= Apply(route, revision, aOrigin) == FactOutcome::Adopted;
    }
  }
  for (const auto& [address, entry] : m_entries) {
    if (!entry.m_removed && !named.contains(address)) {
      hasChanged |= ApplyRemoval(entry.m_route.m_address, revision, aNow) ==
                    FactOutcome::Adopted;
    }
  }
  if (aOrigin != Origin::Watch || hasOtherBase) {
    m_history.AddState(m_revision);
  }
  NoteComplete();
  return hasChanged ? FactOutcome::Adopted : FactOutcome::Unchanged;
}

FactOutcome
RouteTable::Adopt(const Route& aRoute, const RegistryRevision& aRevision)
{
  if (m_history.Includes(aRevision)) {
    return FactOutcome::Stale;
  }
  return Apply(aRoute, aRevision, Origin::Peer);
}

FactOutcome
RouteTable::Apply(const Route& aRoute,
                  const RegistryRevision& aRevision,
                  Origin aOrigin)
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
                   const RegistryRevision& aRevision,
                   base::Instant aNow)
{
  if (m_history.Includes(aRevision)) {
    return FactOutcome::Stale;
  }
  return ApplyRemoval(aAddress, aRevision, aNow);
}

FactOutcome
RouteTable::ApplyRemoval(const base::Endpoint& aAddress,
                         const RegistryRevision& aRevision,
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
RouteTable::AppendChanges(const RegistryRevision& aRevision,
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

RegistryRevision
RouteTable::Forget(base::Instant aBefore)
{
  RegistryRevision latest;
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
