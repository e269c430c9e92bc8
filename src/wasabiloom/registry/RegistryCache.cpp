#include "wasabiloom/registry/RegistryCache.h"

#include "wasabiloom/base/Hash.h"

#include <algorithm>

namespace wasabiloom::registry {

namespace {

bool
TakesFlows(Presence aPresence)
{
  return aPresence == Presence::Listed || aPresence == Presence::Lapsed;
}

/// Returns whether the entry `aServer` tells nothing new. A cold server
/// rewrites its entry all the time with a shorter remaining cold time, which is
/// no change. Entries are read some time after they were written, so the
/// remaining time is an upper bound.
bool
SaysTheSame(const ServerRecord& aRecord,
            const Server& aServer,
            base::Instant aNow)
{
  Server known = aRecord.m_server;
  known.m_coldRemaining = aServer.m_coldRemaining;
  const bool wasCold = aNow < aRecord.m_coldUntil;
  const bool isCold = aServer.m_coldRemaining > base::Duration::zero();
  const bool isColdAgain =
    isCold && (!wasCold || aNow + aServer.m_coldRemaining >
                             aRecord.m_coldUntil + kSameCold);
  return aRecord.m_presence == Presence::Listed && known == aServer &&
         !isColdAgain;
}

} // namespace

std::string_view
ToString(Presence aPresence)
{
  switch (aPresence) {
    case Presence::Listed:
      return "listed";
    case Presence::Lapsed:
      return "lapsed";
    case Presence::Gone:
      return "gone";
    case Presence::Replaced:
      return "replaced";
  }
  return "unlisted";
}

std::uint32_t
MakeToken(std::string_view aId, std::uint64_t aBorn)
{
  // The hash of the text alone is linear in its seed for short texts, so that
  // servers of neighbouring ids and starts would get the same token.
  const auto token =
    static_cast<std::uint32_t>(base::Combine(base::HashText(aId), aBorn));
  return token == 0 ? 1 : token;
}

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
      return ApplyServer(aFact, aNow, aOrigin);
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
RegistryCache::ApplyServer(const Fact& aFact,
                           base::Instant aNow,
                           Origin aOrigin)
{
  const auto known = m_byId.find(aFact.m_name);
  ServerRecord* belief = known == m_byId.end() ? nullptr : known->second;
  if (belief != nullptr && aFact.m_revision <= belief->m_revision) {
    return aFact.m_revision == belief->m_revision ? FactOutcome::Unchanged
                                                  : FactOutcome::Stale;
  }
  const auto removal = m_removals.find(aFact.m_name);
  if (removal != m_removals.end() &&
      aFact.m_revision <= removal->second.m_revision) {
    return FactOutcome::Stale;
  }
  if (const auto* server = std::get_if<Server>(&aFact.m_content)) {
    m_removals.erase(aFact.m_name);
    return ApplyEntry(*server, aFact.m_revision, belief, aNow, aOrigin);
  }
  if (belief != nullptr) {
    return RemoveServer(*belief, aFact.m_revision, aNow);
  }
  return RecordRemoval(aFact, aNow);
}

FactOutcome
RegistryCache::RecordRemoval(const Fact& aFact, base::Instant aNow)
{
  m_removals[aFact.m_name] = { aFact.m_revision, aNow };
  return std::holds_alternative<Removed>(aFact.m_content)
           ? FactOutcome::Unchanged
           : FactOutcome::SetAside;
}

FactOutcome
RegistryCache::ApplyEntry(const Server& aServer,
                          std::uint64_t aRevision,
                          ServerRecord* aKnown,
                          base::Instant aNow,
                          Origin aOrigin)
{
  if (aKnown != nullptr && SaysTheSame(*aKnown, aServer, aNow)) {
    aKnown->m_revision = aRevision;
    // Cold servers write their entries again and again, the last time when they
    // are warm. Any other entry that is written again without a change may have
    // been missing in between, which other hosts may have seen.
    const bool isRenewal =
      std::max(aServer.m_coldRemaining, aKnown->m_server.m_coldRemaining) >
      base::Duration::zero();
    aKnown->m_server.m_coldRemaining = aServer.m_coldRemaining;
    if (aOrigin != Origin::Watch || !isRenewal) {
      aKnown->m_changeRevision = aRevision;
    }
    aKnown->m_coldUntil =
      std::min(aKnown->m_coldUntil, aNow + aServer.m_coldRemaining);
    return FactOutcome::Unchanged;
  }
  ServerRecord* belief = aKnown;
  if (belief == nullptr || belief->m_server.m_startId != aServer.m_startId) {
    if (belief != nullptr) {
      SetPresence(*belief, Presence::Replaced, aNow);
    }
    belief = &Add(aServer);
  }
  belief->m_server = aServer;
  belief->m_revision = aRevision;
  belief->m_changeRevision = aRevision;
  belief->m_coldUntil = aNow + aServer.m_coldRemaining;
  SetPresence(*belief, Presence::Listed, aNow);
  return FactOutcome::Adopted;
}

FactOutcome
RegistryCache::RemoveServer(ServerRecord& aRecord,
                            std::uint64_t aRevision,
                            base::Instant aNow)
{
  aRecord.m_revision = aRevision;
  // A server that was removed before may have been listed in between on other
  // hosts, which then need this removal.
  aRecord.m_changeRevision = aRevision;
  if (!TakesFlows(aRecord.m_presence)) {
    return FactOutcome::Unchanged;
  }
  const bool saidFarewell = aRecord.m_server.m_state == ServerState::Draining;
  SetPresence(aRecord, saidFarewell ? Presence::Gone : Presence::Lapsed, aNow);
  return FactOutcome::Adopted;
}

ServerRecord&
RegistryCache::Add(const Server& aServer)
{
  ServerRecord& record = m_records[{ aServer.m_id, aServer.m_startId }];
  record.m_token = MakeToken(aServer.m_id, aServer.m_startId);
  m_byId[aServer.m_id] = &record;
  ServerRecord*& holder = m_byToken[record.m_token];
  // The server with the smaller id gets the token, so that all hosts agree
  // whatever the order of the entries. The other server gets no flows.
  const bool takesToken =
    holder == nullptr || aServer.m_id <= holder->m_server.m_id;
  if (takesToken && holder != nullptr) {
    holder->m_tokenCollides = true;
  }
  if (takesToken) {
    holder = &record;
  }
  record.m_tokenCollides = !takesToken;
  return record;
}

void
RegistryCache::SetPresence(ServerRecord& aRecord,
                           Presence aPresence,
                           base::Instant aNow)
{
  if (aRecord.m_presence != aPresence ||
      aRecord.m_presenceSince == base::Instant{}) {
    aRecord.m_presence = aPresence;
    aRecord.m_presenceSince = aNow;
  }
  const StartKey start{ aRecord.m_server.m_id, aRecord.m_server.m_startId };
  if (aPresence == Presence::Listed) {
    m_away.erase(start);
  } else {
    m_away.insert(start);
  }
  if (TakesFlows(aPresence)) {
    m_byService.Add(
      aRecord.m_server.m_service, aRecord.m_server.m_zone, aRecord);
  } else {
    m_byService.Remove(aRecord);
  }
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
  for (const auto& [id, belief] : m_byId) {
    if (belief->m_revision <= aRevision &&
        !aFound.contains({ FactKind::Server, id })) {
      RemoveServer(*belief, aRevision, aNow);
    }
  }
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
  std::vector<StartKey> forgotten;
  for (const StartKey& start : m_away) {
    ServerRecord& belief = m_records.at(start);
    const base::Duration age = aNow - belief.m_presenceSince;
    if (belief.m_presence == Presence::Lapsed && age > kLapseGrace) {
      belief.m_presence = Presence::Gone;
      belief.m_presenceSince = aNow;
      m_byService.Remove(belief);
    } else if (!TakesFlows(belief.m_presence) && age > kForgetAfter) {
      forgotten.push_back(start);
    }
  }
  for (const StartKey& start : forgotten) {
    Forget(start);
  }
  ForgetRemovals(aNow - kForgetAfter);
  m_history.Forget(m_routes.Forget(aNow - kForgetAfter));
}

void
RegistryCache::ForgetRemovals(base::Instant aBefore)
{
  std::erase_if(m_removals, [&](const auto& aOne) {
    const bool forget = aOne.second.m_at < aBefore;
    if (forget) {
      m_history.Forget(aOne.second.m_revision);
    }
    return forget;
  });
}

void
RegistryCache::Forget(const StartKey& aStart)
{
  const ServerRecord& belief = m_records.at(aStart);
  m_history.Forget(belief.m_revision);
  const auto latest = m_byId.find(aStart.first);
  if (latest != m_byId.end() && latest->second == &belief) {
    m_byId.erase(latest);
  }
  const auto holder = m_byToken.find(belief.m_token);
  if (holder != m_byToken.end() && holder->second == &belief) {
    m_byToken.erase(holder);
  }
  m_away.erase(aStart);
  m_records.erase(aStart);
}

const ServerRecord*
RegistryCache::FindByToken(std::uint32_t aToken) const
{
  const auto found = m_byToken.find(aToken);
  return found == m_byToken.end() ? nullptr : found->second;
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
  AppendServers(aRevision, aNow, facts);
  AppendZones(aRevision, facts);
  return facts;
}

void
RegistryCache::AppendServers(std::uint64_t aRevision,
                             base::Instant aNow,
                             std::vector<Fact>& aFacts) const
{
  for (const auto& [id, belief] : m_byId) {
    if (belief->m_changeRevision <= aRevision) {
      continue;
    }
    if (belief->m_presence == Presence::Listed) {
      Server server = belief->m_server;
      server.m_coldRemaining =
        std::max(belief->m_coldUntil - aNow, base::Duration::zero());
      aFacts.push_back({ FactKind::Server, id, belief->m_revision, server });
    } else if (aRevision != 0) {
      aFacts.push_back({ FactKind::Server, id, belief->m_revision, Removed{} });
    }
  }
  for (const auto& [id, removal] : m_removals) {
    if (aRevision != 0 && removal.m_revision > aRevision) {
      aFacts.push_back({ FactKind::Server, id, removal.m_revision, Removed{} });
    }
  }
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
