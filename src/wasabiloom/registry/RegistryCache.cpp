#include "wasabiloom/registry/RegistryCache.h"

namespace wasabiloom::registry {

FactEvents::~FactEvents() = default;

RegistryCache::RegistryCache() = default;
RegistryCache::~RegistryCache() = default;

FactOutcome
RegistryCache::Apply(const Fact& aFact, base::Instant aNow, Origin aOrigin)
{
  switch (aFact.m_kind) {
    case FactKind::Configuration:
      return ApplyConfiguration(aFact, aNow, aOrigin);
    case FactKind::Route:
      return ApplyRoute(aFact, aNow);
    case FactKind::Server:
      return m_servers.Apply(aFact, aNow, aOrigin);
    case FactKind::ZoneOut:
      return ApplyZone(aFact, aNow);
    case FactKind::Other:
      break;
  }
  return aFact.m_name.empty() ? FactOutcome::SetAside : FactOutcome::Unchanged;
}

UpdateOutcome
RegistryCache::Learn(const RevisionRange& aRange,
                     const std::vector<Fact>& aFacts,
                     Origin aOrigin,
                     base::Instant aNow,
                     FactEvents& aEvents)
{
  const bool isWhole = aRange.m_from == 0;
  if (aRange.m_to < m_history.End() || aRange.m_to == 0) {
    return UpdateOutcome::Stale;
  }
  if (!isWhole && !m_history.CanAppend(aRange)) {
    return UpdateOutcome::Gap;
  }
  FactNames found;
  for (const Fact& fact : aFacts) {
    // A change at a known revision may have been replaced since. Whole facts
    // are all current.
    const bool isKnown = !isWhole && m_history.Includes(fact.m_revision);
    const FactOutcome outcome =
      isKnown ? FactOutcome::Stale : Apply(fact, aNow, aOrigin);
    aEvents.OnFact(fact, outcome, aOrigin);
    if (isWhole) {
      found.emplace(fact.m_kind, fact.m_name);
    }
  }
  if (isWhole) {
    EndListing(aRange.m_to, found, aNow);
  } else {
    m_history.Append(aRange);
  }
  m_routes.NoteComplete();
  return UpdateOutcome::Applied;
}

FactOutcome
RegistryCache::ApplyConfiguration(const Fact& aFact,
                                  base::Instant aNow,
                                  Origin aOrigin)
{
  if (const auto* whole = std::get_if<Configuration>(&aFact.m_content)) {
    return m_routes.Adopt(*whole, aFact.m_revision, aOrigin, aNow);
  }
  if (const auto* terms = std::get_if<GlobalConfiguration>(&aFact.m_content)) {
    return m_routes.Adopt(*terms, aFact.m_revision);
  }
  return FactOutcome::SetAside;
}

FactOutcome
RegistryCache::ApplyRoute(const Fact& aFact, base::Instant aNow)
{
  if (const auto* route = std::get_if<Route>(&aFact.m_content)) {
    return m_routes.Adopt(*route, aFact.m_revision);
  }
  // A route that can't be read names no service to use.
  const auto address = base::ParseEndpoint(aFact.m_name);
  return address ? m_routes.Remove(*address, aFact.m_revision, aNow)
                 : FactOutcome::SetAside;
}

FactOutcome
RegistryCache::ApplyZone(const Fact& aFact, base::Instant aNow)
{
  ZoneRecord& zone = m_zones[aFact.m_name];
  if (aFact.m_revision <= zone.m_revision) {
    return aFact.m_revision == zone.m_revision ? FactOutcome::Unchanged
                                               : FactOutcome::Stale;
  }
  zone.m_revision = aFact.m_revision;
  // A zone entry with a malformed value still takes the zone out of service.
  const bool out = !std::holds_alternative<Removed>(aFact.m_content);
  if (out == zone.m_out) {
    return FactOutcome::Unchanged;
  }
  zone.m_out = out;
  zone.m_since = aNow;
  return FactOutcome::Adopted;
}

void
RegistryCache::EndListing(std::uint64_t aRevision,
                          const FactNames& aFound,
                          base::Instant aNow)
{
  if (aRevision < m_history.End()) {
    return;
  }
  m_history.AddState(aRevision);
  m_servers.EndListing(aRevision, aFound, aNow);
  for (auto& [name, zone] : m_zones) {
    if (zone.m_out && zone.m_revision <= aRevision &&
        !aFound.contains({ FactKind::ZoneOut, name })) {
      zone = { false, aNow, aRevision };
    }
  }
}

void
RegistryCache::Tick(base::Instant aNow)
{
  m_history.Forget(m_servers.Tick(aNow));
  m_history.Forget(m_routes.Forget(aNow - kForgetAfter));
}

std::optional<base::Instant>
RegistryCache::ZoneOutSince(const std::string& aZone) const
{
  const auto found = m_zones.find(aZone);
  if (found == m_zones.end() || !found->second.m_out) {
    return std::nullopt;
  }
  return found->second.m_since;
}

std::optional<std::vector<Fact>>
RegistryCache::FactsSince(std::uint64_t aRevision, base::Instant aNow) const
{
  const bool whole = aRevision == 0;
  if (!whole && !m_history.ReachesBackTo(aRevision)) {
    return std::nullopt;
  }
  std::vector<Fact> facts;
  if (!whole) {
    m_routes.AppendChanges(aRevision, facts);
  } else if (CurrentGlobal().m_version > 0) {
    facts.push_back({ FactKind::Configuration,
                      "",
                      m_routes.Revision(),
                      m_routes.FullConfiguration() });
  }
  m_servers.AppendChanges(aRevision, aNow, facts);
  AppendZones(aRevision, facts);
  return facts;
}

void
RegistryCache::AppendZones(std::uint64_t aRevision,
                           std::vector<Fact>& aFacts) const
{
  for (const auto& [name, zone] : m_zones) {
    if (zone.m_revision <= aRevision) {
      continue;
    }
    if (zone.m_out) {
      aFacts.push_back({ FactKind::ZoneOut, name, zone.m_revision, ZoneOut{} });
    } else if (aRevision != 0) {
      aFacts.push_back({ FactKind::ZoneOut, name, zone.m_revision, Removed{} });
    }
  }
}

} // namespace wasabiloom::registry
