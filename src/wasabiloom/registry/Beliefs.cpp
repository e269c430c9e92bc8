#include "wasabiloom/registry/Beliefs.h"

#include "wasabiloom/base/Hash.h"

#include <algorithm>

namespace wasabiloom::registry {

namespace {

bool
TakesFlows(Presence aPresence)
{
  return aPresence == Presence::Listed || aPresence == Presence::Lapsed;
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

std::string_view
ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Unchanged:
      return "unchanged";
    case Outcome::Adopted:
      return "adopted";
    case Outcome::Stale:
      return "stale";
    case Outcome::SetAside:
      return "set_aside";
  }
  return "unlisted";
}

std::uint32_t
MakeToken(std::string_view aId, std::uint64_t aBorn)
{
  const auto token = static_cast<std::uint32_t>(base::HashText(aId, aBorn));
  return token == 0 ? 1 : token;
}

Beliefs::Beliefs() = default;
Beliefs::~Beliefs() = default;

Outcome
Beliefs::Apply(const Fact& aFact, base::Instant aNow)
{
  switch (aFact.m_kind) {
    case FactKind::Configuration:
      return ApplyConfiguration(aFact);
    case FactKind::Server:
      return ApplyServer(aFact, aNow);
    case FactKind::ZoneOut:
      return ApplyZone(aFact, aNow);
    case FactKind::Other:
      break;
  }
  return Outcome::Unchanged;
}

Outcome
Beliefs::ApplyConfiguration(const Fact& aFact)
{
  const auto* configuration = std::get_if<Configuration>(&aFact.m_content);
  if (configuration == nullptr) {
    return Outcome::SetAside;
  }
  if (configuration->m_version == m_configuration.m_version) {
    return Outcome::Unchanged;
  }
  if (configuration->m_version < m_configuration.m_version) {
    return Outcome::Stale;
  }
  m_configuration = *configuration;
  m_configurationRevision = aFact.m_revision;
  m_routes.clear();
  for (const Route& route : m_configuration.m_routes) {
    m_routes.emplace(base::Pack(route.m_address), &route);
  }
  return Outcome::Adopted;
}

Outcome
Beliefs::ApplyServer(const Fact& aFact, base::Instant aNow)
{
  const auto known = m_byId.find(aFact.m_name);
  ServerBelief* belief = known == m_byId.end() ? nullptr : known->second;
  if (belief != nullptr && aFact.m_revision <= belief->m_revision) {
    return aFact.m_revision == belief->m_revision ? Outcome::Unchanged
                                                  : Outcome::Stale;
  }
  const auto* server = std::get_if<Server>(&aFact.m_content);
  if (server == nullptr) {
    if (belief == nullptr) {
      return std::holds_alternative<Removed>(aFact.m_content)
               ? Outcome::Unchanged
               : Outcome::SetAside;
    }
    return RemoveServer(*belief, aFact.m_revision, aNow);
  }
  if (belief == nullptr || belief->m_server.m_born != server->m_born) {
    if (belief != nullptr) {
      SetPresence(*belief, Presence::Replaced, aNow);
    }
    belief = &Add(*server);
  }
  belief->m_server = *server;
  belief->m_revision = aFact.m_revision;
  belief->m_coldUntil = aNow + server->m_coldFor;
  SetPresence(*belief, Presence::Listed, aNow);
  IndexServices();
  return Outcome::Adopted;
}

Outcome
Beliefs::RemoveServer(ServerBelief& aBelief,
                      std::uint64_t aRevision,
                      base::Instant aNow)
{
  aBelief.m_revision = aRevision;
  if (!TakesFlows(aBelief.m_presence)) {
    return Outcome::Unchanged;
  }
  const bool saidFarewell = aBelief.m_server.m_state == ServerState::Draining;
  SetPresence(aBelief, saidFarewell ? Presence::Gone : Presence::Lapsed, aNow);
  IndexServices();
  return Outcome::Adopted;
}

ServerBelief&
Beliefs::Add(const Server& aServer)
{
  const std::uint32_t token = MakeToken(aServer.m_id, aServer.m_born);
  auto& slot = m_byToken[token];
  const bool clashes = slot != nullptr && slot->m_server.m_id != aServer.m_id;
  if (clashes && slot->m_server.m_id < aServer.m_id) {
    // Every host gives the token to the smaller id, in whatever order they
    // come; the other start is known, but takes no flow.
    auto& spare = m_byToken[MakeToken(aServer.m_id, ~aServer.m_born)];
    spare = std::make_unique<ServerBelief>();
    spare->m_token = MakeToken(aServer.m_id, ~aServer.m_born);
    spare->m_clashes = true;
    m_byId[aServer.m_id] = spare.get();
    return *spare;
  }
  if (clashes) {
    m_byId.erase(slot->m_server.m_id);
  }
  slot = std::make_unique<ServerBelief>();
  slot->m_token = token;
  m_byId[aServer.m_id] = slot.get();
  return *slot;
}

void
Beliefs::SetPresence(ServerBelief& aBelief,
                     Presence aPresence,
                     base::Instant aNow)
{
  if (aBelief.m_presence != aPresence || aBelief.m_since == base::Instant{}) {
    aBelief.m_presence = aPresence;
    aBelief.m_since = aNow;
  }
}

Outcome
Beliefs::ApplyZone(const Fact& aFact, base::Instant aNow)
{
  ZoneBelief& zone = m_zones[aFact.m_name];
  if (aFact.m_revision <= zone.m_revision) {
    return aFact.m_revision == zone.m_revision ? Outcome::Unchanged
                                               : Outcome::Stale;
  }
  zone.m_revision = aFact.m_revision;
  // A value that can't be read still says that the zone is out.
  const bool out = !std::holds_alternative<Removed>(aFact.m_content);
  if (out == zone.m_out) {
    return Outcome::Unchanged;
  }
  zone.m_out = out;
  zone.m_since = aNow;
  return Outcome::Adopted;
}

void
Beliefs::EndListing(std::uint64_t aRevision,
                    const std::set<std::pair<FactKind, std::string>>& aFound,
                    base::Instant aNow)
{
  m_listed = true;
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
Beliefs::Tick(base::Instant aNow)
{
  bool changed = false;
  for (auto entry = m_byToken.begin(); entry != m_byToken.end();) {
    ServerBelief& belief = *entry->second;
    if (belief.m_presence == Presence::Lapsed &&
        aNow - belief.m_since > kLapseGrace) {
      SetPresence(belief, Presence::Gone, aNow);
      changed = true;
    }
    const bool forget =
      !TakesFlows(belief.m_presence) && aNow - belief.m_since > kForgetAfter;
    if (!forget) {
      ++entry;
      continue;
    }
    m_forgottenRevision = std::max(m_forgottenRevision, belief.m_revision);
    const auto latest = m_byId.find(belief.m_server.m_id);
    if (latest != m_byId.end() && latest->second == &belief) {
      m_byId.erase(latest);
    }
    entry = m_byToken.erase(entry);
  }
  if (changed) {
    IndexServices();
  }
}

void
Beliefs::IndexServices()
{
  for (auto& [service, servers] : m_byService) {
    servers.clear();
  }
  for (const auto& [id, belief] : m_byId) {
    if (TakesFlows(belief->m_presence)) {
      m_byService[belief->m_server.m_service].push_back(belief);
    }
  }
}

const Route*
Beliefs::FindRoute(const base::Endpoint& aAddress) const
{
  const auto found = m_routes.find(base::Pack(aAddress));
  return found == m_routes.end() ? nullptr : found->second;
}

const ServerBelief*
Beliefs::FindToken(std::uint32_t aToken) const
{
  const auto found = m_byToken.find(aToken);
  return found == m_byToken.end() ? nullptr : found->second.get();
}

const std::vector<const ServerBelief*>&
Beliefs::ServersOf(std::string_view aService) const
{
  static const std::vector<const ServerBelief*> sNone;
  const auto found = m_byService.find(aService);
  return found == m_byService.end() ? sNone : found->second;
}

std::optional<base::Instant>
Beliefs::ZoneOutSince(const std::string& aZone) const
{
  const auto found = m_zones.find(aZone);
  if (found == m_zones.end() || !found->second.m_out) {
    return std::nullopt;
  }
  return found->second.m_since;
}

std::optional<std::vector<Fact>>
Beliefs::FactsSince(std::uint64_t aRevision, base::Instant aNow) const
{
  const bool whole = aRevision == 0;
  if (!whole && aRevision < m_forgottenRevision) {
    return std::nullopt;
  }
  std::vector<Fact> facts;
  if (m_configuration.m_version > 0 && m_configurationRevision > aRevision) {
    facts.push_back({ FactKind::Configuration,
                      "",
                      m_configurationRevision,
                      m_configuration });
  }
  for (const auto& [id, belief] : m_byId) {
    if (belief->m_revision <= aRevision) {
      continue;
    }
    if (belief->m_presence == Presence::Listed) {
      Server server = belief->m_server;
      server.m_coldFor =
        std::max(belief->m_coldUntil - aNow, base::Duration::zero());
      facts.push_back({ FactKind::Server, id, belief->m_revision, server });
    } else if (!whole) {
      facts.push_back({ FactKind::Server, id, belief->m_revision, Removed{} });
    }
  }
  for (const auto& [name, zone] : m_zones) {
    if (zone.m_revision <= aRevision) {
      continue;
    }
    if (zone.m_out) {
      facts.push_back({ FactKind::ZoneOut, name, zone.m_revision, ZoneOut{} });
    } else if (!whole) {
      facts.push_back({ FactKind::ZoneOut, name, zone.m_revision, Removed{} });
    }
  }
  return facts;
}

} // namespace wasabiloom::registry
