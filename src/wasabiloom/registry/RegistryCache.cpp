#include "wasabiloom/registry/RegistryCache.h"

#include <algorithm>

namespace wasabiloom::registry {

namespace {

/// Appends the state of a zone at `aRevision`, if that is later than `aSince`.
void
AppendZone(const std::string& aName,
           bool aIsOut,
           const RegistryRevision& aRevision,
           const RegistryRevision& aSince,
           std::vector<Fact>& aFacts)
{
  if (aRevision <= aSince) {
    return;
  }
  if (aIsOut) {
    aFacts.push_back({ FactKind::ZoneOut, aName, aRevision, ZoneOut{} });
  } else {
    aFacts.push_back({ FactKind::ZoneOut, aName, aRevision, Removed{} });
  }
}

} // namespace

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
  if (aRange.m_to.m_epoch < m_epoch.Epoch()) {
    return UpdateOutcome::Stale;
  }
  const bool isWhole = aRange.m_from == 0;
  const bool isMerged = isWhole && aOrigin == Origin::Peer;
  if (aRange.m_to < m_history.End() || aRange.m_to.m_number == 0) {
    if (isMerged) {
      MergeKept(aFacts, aRange.m_to.m_epoch, aNow, aEvents);
    }
    return UpdateOutcome::Stale;
  }
  const bool hasOtherBase =
    aOrigin == Origin::Peer && m_routes.IsKept(aRange.m_to.m_epoch) &&
    std::ranges::any_of(aFacts, [](const Fact& aFact) {
      return std::holds_alternative<GlobalConfiguration>(aFact.m_content);
    });
  if (!isWhole && (!m_history.CanAppend(aRange) || hasOtherBase)) {
    return UpdateOutcome::Gap;
  }
  if (isMerged) {
    m_mergedEpoch = aRange.m_to.m_epoch;
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
  // Another host kept the state of an earlier epoch.
  if (m_epoch.Keeps(aFact.m_revision, zone.m_revision, aNow)) {
    const bool isOut = !std::holds_alternative<Removed>(aFact.m_content);
    if (isOut == zone.m_out) {
      return FactOutcome::Unchanged;
    }
    zone = { isOut, aNow, aFact.m_revision, zone.m_revision };
    return FactOutcome::Adopted;
  }
  if (aFact.m_revision <= zone.m_revision) {
    return aFact.m_revision == zone.m_revision ? FactOutcome::Unchanged
                                               : FactOutcome::Stale;
  }
  // A zone entry with a malformed value still takes the zone out of service.
  const bool out = !std::holds_alternative<Removed>(aFact.m_content);
  if (out != zone.m_out && Keeps(zone, aFact.m_revision, aNow)) {
    zone.m_keptAgainst = aFact.m_revision;
    return FactOutcome::Stale;
  }
  zone.m_revision = aFact.m_revision;
  const bool isKept = aFact.m_revision.m_epoch < m_epoch.Epoch();
  if (!isKept) {
    zone.m_keptAgainst.reset();
  }
  if (out == zone.m_out) {
    return FactOutcome::Unchanged;
  }
  zone.m_out = out;
  zone.m_since = aNow;
  if (isKept && zone.m_keptAgainst) {
    // The zone is now as the registry says.
    zone.m_revision = *zone.m_keptAgainst;
    zone.m_keptAgainst.reset();
  } else if (isKept) {
    zone.m_keptAgainst = m_epoch.First();
  }
  return FactOutcome::Adopted;
}

void
RegistryCache::EndListing(const RegistryRevision& aRevision,
                          const FactNames& aFound,
                          base::Instant aNow)
{
  if (aRevision < m_history.End()) {
    return;
  }
  m_history.AddState(aRevision);
  m_servers.EndListing(aRevision, aFound, aNow);
  EndZoneListing(aRevision, aFound, aNow);
}

void
RegistryCache::EndZoneListing(const RegistryRevision& aRevision,
                              const FactNames& aFound,
                              base::Instant aNow)
{
  for (auto& [name, zone] : m_zones) {
    const bool isFound = aFound.contains({ FactKind::ZoneOut, name });
    const bool isOfEarlierEpoch = zone.m_revision.m_epoch < aRevision.m_epoch;
    if (zone.m_revision > aRevision ||
        (isFound && (!zone.m_out || !isOfEarlierEpoch))) {
      continue;
    }
    // An entry of an earlier epoch was kept by another host.
    if (!zone.m_out) {
      zone.m_keptAgainst.reset();
    } else if (Keeps(zone, aRevision, aNow)) {
      zone.m_keptAgainst = aRevision;
    } else {
      zone = { false, aNow, aRevision };
    }
  }
}

bool
RegistryCache::Keeps(const ZoneRecord& aZone,
                     const RegistryRevision& aRevision,
                     base::Instant aNow) const
{
  const bool isOfRestoredState =
    aZone.m_revision != RegistryRevision{} &&
    m_epoch.Keeps(aZone.m_revision, aRevision, aNow);
  // The restored state holds every change that is older than kKeptFor. An entry
  // for a zone that has been in service for longer is a new one.
  return isOfRestoredState && (aZone.m_out || aNow - aZone.m_since <= kKeptFor);
}

void
RegistryCache::MergeKept(const std::vector<Fact>& aFacts,
                         std::uint64_t aEpoch,
                         base::Instant aNow,
                         FactEvents& aEvents)
{
  m_mergedEpoch = aEpoch;
  for (const Fact& fact : aFacts) {
    if (fact.m_revision.m_epoch < aEpoch) {
      aEvents.OnFact(fact, Apply(fact, aNow, Origin::Peer), Origin::Peer);
    }
  }
}

std::size_t
RegistryCache::KeptCount() const
{
  const auto zones = std::ranges::count_if(m_zones, [](const auto& aOne) {
    return aOne.second.m_keptAgainst.has_value();
  });
  return m_servers.KeptCount() + static_cast<std::size_t>(zones);
}

RegistryRevision
RegistryCache::PullFrom(base::Instant aNow) const
{
  const RegistryRevision& end = m_history.End();
  const bool needsAll = LacksKeptFacts(aNow) || m_routes.IsKept(end.m_epoch);
  return needsAll ? RegistryRevision{} : end;
}

std::size_t
RegistryCache::DropKeptZones(base::Instant aNow)
{
  std::size_t dropped = 0;
  for (auto& [name, zone] : m_zones) {
    if (zone.m_keptAgainst) {
      zone = { !zone.m_out, aNow, *zone.m_keptAgainst };
      ++dropped;
    }
  }
  return dropped;
}

std::size_t
RegistryCache::Tick(base::Instant aNow)
{
  m_history.Forget(m_servers.Tick(aNow));
  m_history.Forget(m_routes.Forget(aNow - kForgetAfter));
  const bool drops = KeptCount() > 0 && !m_epoch.Keeps(aNow);
  return drops ? m_servers.DropKept(aNow) + DropKeptZones(aNow) : 0;
}

bool
RegistryCache::CanAcceptFlow(const ServerRecord& aServer) const
{
  const bool isThere = aServer.m_presence == Presence::Listed ||
                       aServer.m_presence == Presence::Lapsed;
  return isThere && !aServer.m_tokenCollides &&
         aServer.m_server.m_state == ServerState::Ready &&
         !ZoneOutSince(aServer.m_server.m_zone);
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
RegistryCache::FactsSince(const RegistryRevision& aRevision,
                          base::Instant aNow) const
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
RegistryCache::AppendZones(const RegistryRevision& aRevision,
                           std::vector<Fact>& aFacts) const
{
  const bool isWhole = aRevision == RegistryRevision{};
  for (const auto& [name, zone] : m_zones) {
    if (zone.m_keptAgainst && (!isWhole || !zone.m_out)) {
      // The registry's own state; the receiver keeps the zone as it is by it.
      AppendZone(name, !zone.m_out, *zone.m_keptAgainst, aRevision, aFacts);
    }
    if (!zone.m_keptAgainst || isWhole) {
      const bool isNeeded = zone.m_out || !isWhole || zone.m_keptAgainst;
      const RegistryRevision since = isNeeded ? aRevision : zone.m_revision;
      AppendZone(name, zone.m_out, zone.m_revision, since, aFacts);
    }
  }
}

} // namespace wasabiloom::registry
