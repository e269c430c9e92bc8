#include "support/RegistryModel.h"

#include <algorithm>

namespace wasabiloom::tests {

using registry::Fact;
using registry::FactContent;
using registry::FactKind;
using registry::Removed;

namespace {

constexpr std::uint64_t kServers = 5;
constexpr std::uint64_t kRoutes = 4;
constexpr const char* kZones[] = { "a", "b" };

std::string
KeyOf(FactKind aKind, const std::string& aName)
{
  return std::to_string(static_cast<int>(aKind)) + "/" + aName;
}

/// The kind and name that a key was made of.
std::pair<FactKind, std::string>
ReadKey(const std::string& aKey)
{
  return { static_cast<FactKind>(aKey[0] - '0'), aKey.substr(2) };
}

void
AddTo(ServedState& aState, const Fact& aFact)
{
  if (const auto* whole =
        std::get_if<registry::Configuration>(&aFact.m_content)) {
    aState.m_version = whole->m_version;
    for (const registry::Route& route : whole->m_routes) {
      aState.m_routes[ToString(route.m_address)] =
        route.m_shares.front().m_service;
    }
  } else if (const auto* server =
               std::get_if<registry::Server>(&aFact.m_content)) {
    aState.m_servers[aFact.m_name] = { server->m_startId, server->m_state };
  } else {
    aState.m_zonesOut.insert(aFact.m_name);
  }
}

} // namespace

std::ostream&
operator<<(std::ostream& aOut, const ServedState& aState)
{
  aOut << "version " << aState.m_version;
  for (const auto& [address, service] : aState.m_routes) {
    aOut << ' ' << address << "=" << service;
  }
  for (const auto& [id, server] : aState.m_servers) {
    aOut << ' ' << id << "=" << server.first
         << (server.second == registry::ServerState::Draining ? "d" : "");
  }
  for (const std::string& zone : aState.m_zonesOut) {
    aOut << " out:" << zone;
  }
  return aOut;
}

ServedState
StateOf(const registry::RegistryCache& aCache)
{
  ServedState state;
  const auto facts = aCache.FactsSince(0, At(0));
  for (const Fact& fact : *facts) {
    AddTo(state, fact);
  }
  return state;
}

RegistryModel::RegistryModel(std::mt19937_64& aRandom)
  : m_random(aRandom)
  , m_states(1)
{
}

void
RegistryModel::Change(base::Instant aNow)
{
  const std::uint64_t kind = Draw(10);
  if (kind == 0) {
    const std::string zone = kZones[Draw(std::size(kZones))];
    const std::string key = KeyOf(FactKind::ZoneOut, zone);
    const bool isOut = m_states.back().m_values.contains(key);
    Write(key,
          isOut ? FactContent(Removed{}) : FactContent(registry::ZoneOut{}),
          aNow);
  } else if (kind < 4) {
    Write(KeyOf(FactKind::Configuration, ""), DrawConfiguration(), aNow);
  } else {
    const std::string id = "i-" + std::to_string(1 + Draw(kServers));
    const std::string key = KeyOf(FactKind::Server, id);
    const bool leaves = m_states.back().m_values.contains(key) && Draw(3) == 0;
    Write(key, leaves ? FactContent(Removed{}) : DrawServer(id), aNow);
  }
}

void
RegistryModel::Restore(std::uint64_t aBack)
{
  m_states.resize(m_states.size() - std::min(aBack, Revision() - 1));
  m_historyFrom = std::min(m_historyFrom, Revision());
  ++m_epoch;
}

void
RegistryModel::Reconfigure(base::Instant aNow)
{
  Write(KeyOf(FactKind::Configuration, ""), DrawConfiguration(), aNow);
}

void
RegistryModel::Write(const std::string& aKey,
                     const FactContent& aContent,
                     base::Instant aNow)
{
  const auto [kind, name] = ReadKey(aKey);
  State next = m_states.back();
  next.m_at = aNow;
  next.m_change = { kind, name, m_states.size(), aContent };
  if (std::holds_alternative<Removed>(aContent)) {
    next.m_values.erase(aKey);
  } else {
    next.m_values[aKey] = next.m_change;
  }
  next.m_served = {};
  for (const auto& [key, fact] : next.m_values) {
    AddTo(next.m_served, fact);
  }
  m_states.push_back(next);
}

FactContent
RegistryModel::DrawConfiguration()
{
  registry::Configuration configuration;
  configuration.m_version = m_version += 1 + Draw(3);
  for (std::uint64_t i = 0; i < kRoutes; ++i) {
    if (Draw(2) == 0) {
      configuration.m_routes.push_back(
        { "r",
          *base::ParseEndpoint("198.18.0." + std::to_string(i) + ":80"),
          { { Draw(2) == 0 ? "desk" : "vault", 1 } } });
    }
  }
  return configuration;
}

FactContent
RegistryModel::DrawServer(const std::string& aId)
{
  registry::Server server = MakeServer(aId, kZones[0], 1 + Draw(2));
  server.m_state = Draw(3) == 0 ? registry::ServerState::Draining
                                : registry::ServerState::Ready;
  return server;
}

std::uint64_t
RegistryModel::RevisionBefore(base::Instant aTime) const
{
  std::uint64_t revision = Revision();
  while (revision > 0 && m_states[revision].m_at >= aTime) {
    --revision;
  }
  return revision;
}

registry::Page
RegistryModel::List(const std::string& aAfter,
                    std::uint64_t aRevision,
                    std::size_t aLength) const
{
  registry::Page page;
  page.m_revision = aRevision;
  const auto& values = m_states.at(aRevision).m_values;
  auto next = values.upper_bound(aAfter);
  std::string last;
  for (; next != values.end() && page.m_facts.size() < aLength; ++next) {
    page.m_facts.push_back(next->second);
    last = next->first;
  }
  page.m_nextKey = next == values.end() ? "" : last;
  registry::SetEpoch(m_epoch, page);
  return page;
}

registry::WatchResult
RegistryModel::Watch(std::uint64_t aAfter) const
{
  if (aAfter < m_historyFrom || aAfter > Revision()) {
    return registry::CallFailure{ base::ResultCode::HistoryGone,
                                  "dropped",
                                  m_epoch };
  }
  registry::Changes changes{ {}, Revision() };
  for (std::uint64_t i = aAfter + 1; i <= Revision(); ++i) {
    changes.m_facts.push_back(m_states[i].m_change);
  }
  registry::SetEpoch(m_epoch, changes);
  return changes;
}

} // namespace wasabiloom::tests
