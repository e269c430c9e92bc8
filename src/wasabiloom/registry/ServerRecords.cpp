#include "wasabiloom/registry/ServerRecords.h"

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

FactOutcome
ServerRecords::Apply(const Fact& aFact, base::Instant aNow, Origin aOrigin)
{
  const auto known = m_byId.find(aFact.m_name);
  ServerRecord* belief = known == m_byId.end() ? nullptr : known->second;
  if (belief != nullptr && aFact.m_revision <= belief->m_revision) {
    // Another host kept the entry of an earlier epoch.
    if (m_epoch.Keeps(aFact.m_revision, belief->m_revision, aNow)) {
      return ApplyKept(aFact, *belief, aNow);
    }
    return aFact.m_revision == belief->m_revision ? FactOutcome::Unchanged
                                                  : FactOutcome::Stale;
  }
  if (belief != nullptr && IsOutdated(aFact, *belief, aNow)) {
    return Keep(aFact, *belief, aNow);
  }
  return ApplyCurrent(aFact, belief, aNow, aOrigin);
}

bool
ServerRecords::IsOutdated(const Fact& aFact,
                          const ServerRecord& aKnown,
                          base::Instant aNow) const
{
  const auto* server = std::get_if<Server>(&aFact.m_content);
  if (server == nullptr ||
      !m_epoch.Keeps(aKnown.m_revision, aFact.m_revision, aNow)) {
    return false;
  }
  if (server->m_startId != aKnown.m_server.m_startId) {
    // A start that was known before has been replaced since.
    return m_records.contains({ server->m_id, server->m_startId });
  }
  const bool wasDraining = aKnown.m_server.m_state == ServerState::Draining;
  return !TakesFlows(aKnown.m_presence) ||
         (wasDraining && server->m_state == ServerState::Ready);
}

FactOutcome
ServerRecords::Keep(const Fact& aFact, ServerRecord& aKnown, base::Instant aNow)
{
  m_kept.insert_or_assign(aFact.m_name, aFact);
  const auto& server = std::get<Server>(aFact.m_content);
  if (server.m_startId != aKnown.m_server.m_startId &&
      aKnown.m_presence == Presence::Listed) {
    // The restored state lacks the entry of the later start.
    SetPresence(aKnown, Presence::Lapsed, aNow);
  }
  return FactOutcome::Stale;
}

FactOutcome
ServerRecords::ApplyKept(const Fact& aFact,
                         ServerRecord& aKnown,
                         base::Instant aNow)
{
  Server restored = aKnown.m_server;
  restored.m_coldRemaining =
    std::max(aKnown.m_coldUntil - aNow, base::Duration::zero());
  const Fact entry{
    FactKind::Server, aFact.m_name, aKnown.m_revision, restored
  };
  const auto* server = std::get_if<Server>(&aFact.m_content);
  if (aKnown.m_presence != Presence::Listed) {
    return FactOutcome::Stale;
  }
  if (std::holds_alternative<Removed>(aFact.m_content)) {
    SetPresence(aKnown, Presence::Gone, aNow);
  } else if (server != nullptr && server->m_state == ServerState::Draining &&
             server->m_startId == aKnown.m_server.m_startId &&
             aKnown.m_server.m_state == ServerState::Ready) {
    aKnown.m_server.m_state = ServerState::Draining;
  } else {
    return FactOutcome::Stale;
  }
  aKnown.m_revision = aFact.m_revision;
  m_kept.insert_or_assign(aFact.m_name, entry);
  return FactOutcome::Adopted;
}

FactOutcome
ServerRecords::ApplyCurrent(const Fact& aFact,
                            ServerRecord* aKnown,
                            base::Instant aNow,
                            Origin aOrigin)
{
  // What other hosts keep does not tell what the registry holds.
  if (aFact.m_revision.m_epoch >= m_epoch.Epoch()) {
    m_kept.erase(aFact.m_name);
  }
  const auto removal = m_removals.find(aFact.m_name);
  if (removal != m_removals.end() &&
      aFact.m_revision <= removal->second.m_revision) {
    return FactOutcome::Stale;
  }
  if (const auto* server = std::get_if<Server>(&aFact.m_content)) {
    m_removals.erase(aFact.m_name);
    return ApplyEntry(*server, aFact.m_revision, aKnown, aNow, aOrigin);
  }
  if (aKnown != nullptr) {
    return RemoveServer(*aKnown, aFact.m_revision, aNow);
  }
  return RecordRemoval(aFact, aNow);
}

FactOutcome
ServerRecords::RecordRemoval(const Fact& aFact, base::Instant aNow)
{
  m_removals[aFact.m_name] = { aFact.m_revision, aNow };
  return std::holds_alternative<Removed>(aFact.m_content)
           ? FactOutcome::Unchanged
           : FactOutcome::SetAside;
}

FactOutcome
ServerRecords::ApplyEntry(const Server& aServer,
                          const RegistryRevision& aRevision,
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
ServerRecords::RemoveServer(ServerRecord& aRecord,
                            const RegistryRevision& aRevision,
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
ServerRecords::Add(const Server& aServer)
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
ServerRecords::SetPresence(ServerRecord& aRecord,
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

void
ServerRecords::EndListing(const RegistryRevision& aRevision,
                          const FactNames& aFound,
                          base::Instant aNow)
{
  for (const auto& [id, belief] : m_byId) {
    if (belief->m_revision <= aRevision &&
        !aFound.contains({ FactKind::Server, id })) {
      NoteMissing(*belief, aRevision, aNow);
    }
  }
}

void
ServerRecords::NoteMissing(ServerRecord& aRecord,
                           const RegistryRevision& aRevision,
                           base::Instant aNow)
{
  m_kept.erase(aRecord.m_server.m_id);
  const bool isOfEarlierEpoch = aRecord.m_revision.m_epoch < aRevision.m_epoch;
  if (!isOfEarlierEpoch || aRecord.m_presence != Presence::Listed) {
    RemoveServer(aRecord, aRevision, aNow);
    return;
  }
  // The restored state may lack the entry of a server that is there, a draining
  // one too. Such a server registers again.
  aRecord.m_revision = aRevision;
  aRecord.m_changeRevision = aRevision;
  SetPresence(aRecord, Presence::Lapsed, aNow);
}

std::size_t
ServerRecords::DropKept(base::Instant aNow)
{
  const auto kept = std::move(m_kept);
  m_kept.clear();
  for (const auto& [id, fact] : kept) {
    const auto known = m_byId.find(id);
    ServerRecord* record = known == m_byId.end() ? nullptr : known->second;
    if (record == nullptr || record->m_revision < fact.m_revision) {
      ApplyCurrent(fact, record, aNow, Origin::Listing);
    }
  }
  return kept.size();
}

RegistryRevision
ServerRecords::Tick(base::Instant aNow)
{
  std::vector<StartKey> forgotten;
  for (const StartKey& start : m_away) {
    ServerRecord& belief = m_records.at(start);
    const base::Duration age = aNow - belief.m_presenceSince;
    const bool isMissing = age > kLapseGrace && !m_epoch.AwaitsServers(aNow);
    if (belief.m_presence == Presence::Lapsed && isMissing) {
      belief.m_presence = Presence::Gone;
      belief.m_presenceSince = aNow;
      m_byService.Remove(belief);
    } else if (!TakesFlows(belief.m_presence) && age > kForgetAfter) {
      forgotten.push_back(start);
    }
  }
  RegistryRevision latest = ForgetRemovals(aNow - kForgetAfter);
  for (const StartKey& start : forgotten) {
    latest = std::max(latest, Forget(start));
  }
  return latest;
}

RegistryRevision
ServerRecords::ForgetRemovals(base::Instant aBefore)
{
  RegistryRevision latest;
  std::erase_if(m_removals, [&](const auto& aOne) {
    const bool forget = aOne.second.m_at < aBefore;
    if (forget) {
      latest = std::max(latest, aOne.second.m_revision);
    }
    return forget;
  });
  return latest;
}

RegistryRevision
ServerRecords::Forget(const StartKey& aStart)
{
  const ServerRecord& belief = m_records.at(aStart);
  const RegistryRevision revision = belief.m_revision;
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
  return revision;
}

const ServerRecord*
ServerRecords::FindByToken(std::uint32_t aToken) const
{
  const auto found = m_byToken.find(aToken);
  return found == m_byToken.end() ? nullptr : found->second;
}

void
ServerRecords::AppendChanges(const RegistryRevision& aRevision,
                             base::Instant aNow,
                             std::vector<Fact>& aFacts) const
{
  const bool isWhole = aRevision == RegistryRevision{};
  for (const auto& [id, fact] : m_kept) {
    if (fact.m_revision > aRevision) {
      aFacts.push_back(fact);
    }
  }
  for (const auto& [id, belief] : m_byId) {
    const bool isKept = m_kept.contains(id);
    if (belief->m_changeRevision <= aRevision || (isKept && !isWhole)) {
      continue;
    }
    if (belief->m_presence == Presence::Listed) {
      Server server = belief->m_server;
      server.m_coldRemaining =
        std::max(belief->m_coldUntil - aNow, base::Duration::zero());
      aFacts.push_back({ FactKind::Server, id, belief->m_revision, server });
    } else if (!isWhole || isKept) {
      aFacts.push_back({ FactKind::Server, id, belief->m_revision, Removed{} });
    }
  }
  for (const auto& [id, removal] : m_removals) {
    if (!isWhole && removal.m_revision > aRevision) {
      aFacts.push_back({ FactKind::Server, id, removal.m_revision, Removed{} });
    }
  }
}

} // namespace wasabiloom::registry
