/// What a host believes of the registry's facts, with age.
#pragma once

#include "wasabiloom/registry/Facts.h"
#include "wasabiloom/registry/RouteTable.h"
#include "wasabiloom/registry/ServiceIndex.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace wasabiloom::registry {

/// How a backend server stands in the registry.
enum class Presence : std::uint8_t
{
  /// Its entry is there.
  Listed,
  /// Its entry went without a farewell; it may come back within the grace.
  Lapsed,
  /// It has left, or stayed away for longer than the grace.
  Gone,
  /// Another start under the same id has taken its place.
  Replaced,
};

/// Name of `aPresence` for logs. Thread safe.
std::string_view
ToString(Presence aPresence);

/// One start of a backend server, as believed.
struct ServerRecord
{
  Server m_server;
  /// What callers' packets carry to name this start; never 0.
  std::uint32_t m_token = 0;
  Presence m_presence = Presence::Listed;
  /// When the presence took its value.
  base::Instant m_presenceSince;
  /// Until when the server is cold.
  base::Instant m_coldUntil;
  /// Revision of the latest entry.
  std::uint64_t m_revision = 0;
  /// Revision of the latest entry that said something new.
  std::uint64_t m_changeRevision = 0;
  /// Another start has the same token; this one takes no flow.
  bool m_tokenCollides = false;
};

/// The token of the start `aBorn` of the server `aId`; equal on every host.
/// Thread safe.
std::uint32_t
MakeToken(std::string_view aId, std::uint64_t aBorn);

/// How long a lapsed entry may take to come back.
constexpr base::Duration kLapseGrace = std::chrono::milliseconds(2500);

/// How long a start that is gone keeps its token.
constexpr base::Duration kForgetAfter = std::chrono::seconds(75);

/// A cold server is cold anew only when its entry says that it stays so for
/// longer than was believed by more than this: entries are written every
/// second or so, and read later.
constexpr base::Duration kSameCold = std::chrono::milliseconds(1500);

/// Facts in force on this host. Never goes back to an older revision of a
/// fact, nor to an older version of the configuration. One thread at a time.
class RegistryCache
{
public:
  RegistryCache();
  ~RegistryCache();
  RegistryCache(const RegistryCache&) = delete;
  RegistryCache& operator=(const RegistryCache&) = delete;

  /// Takes in one fact. Only one that `aOrigin` says to be a change after all
  /// others seen can be known to say nothing new to other hosts.
  FactOutcome Apply(const Fact& aFact,
                    base::Instant aNow,
                    Origin aOrigin = Origin::Peer);

  /// Ends a listing that began at `aRevision` and found `aFound`: whatever
  /// was believed at that revision and was not found is removed.
  void EndListing(std::uint64_t aRevision,
                  const std::set<std::pair<FactKind, std::string>>& aFound,
                  base::Instant aNow);

  /// Lets lapsed entries go and forgets those that are long gone.
  void Tick(base::Instant aNow);

  /// Whether a whole listing was seen.
  bool HasCompleteListing() const { return m_listed; }

  /// Whether a configuration and a whole listing were seen.
  bool IsComplete() const { return m_listed && CurrentGlobal().m_version > 0; }

  /// Version in force, without its routes.
  const GlobalConfiguration& CurrentGlobal() const { return m_routes.Global(); }

  /// Version in force with its routes.
  Configuration CurrentConfiguration() const
  {
    return m_routes.FullConfiguration();
  }

  /// Route at `aAddress`, or null.
  const Route* FindRoute(const base::Endpoint& aAddress) const
  {
    return m_routes.Find(aAddress);
  }

  /// Start that `aToken` names, or null.
  const ServerRecord* FindByToken(std::uint32_t aToken) const;

  /// Starts of the service's servers that are listed or lapsed.
  ServiceIndex::Servers ServersOf(std::string_view aService) const
  {
    return m_byService.All(aService);
  }

  /// The same servers, to draw from.
  const ServiceIndex& ServersByService() const { return m_byService; }

  /// When `aZone` was seen taken out; empty when it is in service.
  std::optional<base::Instant> ZoneOutSince(const std::string& aZone) const;

  /// What changed after `aRevision`, as facts that another host can take in;
  /// 0 for all that is believed. Empty when changes since then were forgotten.
  std::optional<std::vector<Fact>> FactsSince(std::uint64_t aRevision,
                                              base::Instant aNow) const;

  std::size_t ServerCount() const { return m_byToken.size(); }

private:
  struct ZoneBelief
  {
    bool m_out = false;
    base::Instant m_since;
    std::uint64_t m_revision = 0;
  };

  FactOutcome ApplyConfiguration(const Fact& aFact,
                                 base::Instant aNow,
                                 Origin aOrigin);
  FactOutcome ApplyRoute(const Fact& aFact, base::Instant aNow, Origin aOrigin);
  FactOutcome ApplyServer(const Fact& aFact,
                          base::Instant aNow,
                          Origin aOrigin);
  FactOutcome ApplyEntry(const Server& aServer,
                         std::uint64_t aRevision,
                         ServerRecord* aKnown,
                         base::Instant aNow,
                         Origin aOrigin);
  FactOutcome ApplyZone(const Fact& aFact, base::Instant aNow);
  FactOutcome RemoveServer(ServerRecord& aBelief,
                           std::uint64_t aRevision,
                           base::Instant aNow);
  ServerRecord& Add(const Server& aServer);
  void SetPresence(ServerRecord& aBelief,
                   Presence aPresence,
                   base::Instant aNow);
  void Forget(std::uint32_t aToken);
  void AppendServers(std::uint64_t aRevision,
                     base::Instant aNow,
                     std::vector<Fact>& aFacts) const;
  void AppendZones(std::uint64_t aRevision, std::vector<Fact>& aFacts) const;

  RouteTable m_routes;
  /// Latest revision of a removal that is not, or no longer, remembered.
  std::uint64_t m_forgottenRevision = 0;
  bool m_listed = false;
  std::unordered_map<std::uint32_t, std::unique_ptr<ServerRecord>> m_byToken;
  /// The latest start of each id.
  std::map<std::string, ServerRecord*, std::less<>> m_byId;
  ServiceIndex m_byService;
  /// Tokens of starts that are not listed.
  std::set<std::uint32_t> m_away;
  std::map<std::string, ZoneBelief> m_zones;
};

} // namespace wasabiloom::registry
