/// A host's local copy of the registry's facts, with the revision of each fact
/// and the time of its last change.
#pragma once

#include "wasabiloom/registry/Facts.h"
#include "wasabiloom/registry/KnownHistory.h"
#include "wasabiloom/registry/RouteTable.h"
#include "wasabiloom/registry/ServerRecords.h"

#include <map>
#include <optional>

namespace wasabiloom::registry {

/// Result of applying the changes in a range of revisions.
enum class UpdateOutcome : std::uint8_t
{
  /// The changes were applied. There may be none, which confirms that nothing
  /// has changed.
  Applied,
  /// The changes end at an older revision than is known here.
  Stale,
  /// The changes start at a newer revision than is known here, so changes in
  /// between are missing; or they belong to a later epoch of the registry, or
  /// are based on another configuration than the one in force here. All facts
  /// are needed then, or the changes from the known revision on.
  Gap,
};

/// Receives the result of each fact that is applied.
class FactEvents
{
public:
  virtual ~FactEvents();

  /// A fact was received; `aOutcome` tells how it was applied.
  virtual void OnFact(const Fact& aFact,
                      FactOutcome aOutcome,
                      Origin aOrigin) = 0;
};

/// The registry's facts as known on this host, and the part of the registry's
/// history that they cover. A single fact never extends that part; only
/// complete listings and ranges of changes do. Never returns to an older
/// revision of a fact or to an older version of the configuration.
///
/// A registry that was restored from a copy begins a new epoch, in which its
/// state lacks the last changes. For kKeptFor from then on, the zones and
/// servers that its restored state lacks or contradicts are kept as known here.
/// They are part of a whole state for other hosts, with the revision of the
/// earlier epoch. What is written in the new epoch counts at once. Not thread
/// safe: use it from one thread at a time.
class RegistryCache
{
public:
  RegistryCache();
  ~RegistryCache();
  RegistryCache(const RegistryCache&) = delete;
  RegistryCache& operator=(const RegistryCache&) = delete;

  /// Applies one fact. A fact that changes nothing here is left out of
  /// FactsSince only where `aOrigin` is Watch, and a server's entry only
  /// until the server is warm: this host has then seen every change before it.
  /// From another origin, changes in between may have been missed here and seen
  /// by other hosts.
  FactOutcome Apply(const Fact& aFact,
                    base::Instant aNow,
                    Origin aOrigin = Origin::Peer);

  /// Applies `aFacts`, the changes in `aRange`, or with `aRange.m_from` 0 all
  /// facts at `aRange.m_to`. Changes at revisions that are already known are
  /// stale.
  UpdateOutcome Learn(const RevisionRange& aRange,
                      const std::vector<Fact>& aFacts,
                      Origin aOrigin,
                      base::Instant aNow,
                      FactEvents& aEvents);

  /// Notes that the registry has reached `aRevision`, and that its epoch has
  /// been known to a host since `aSince`. To be called before facts of a new
  /// epoch are applied. Returns whether the epoch is new to this host.
  bool NoteEpoch(const RegistryRevision& aRevision, base::Instant aSince)
  {
    return m_epoch.Note(aRevision, aSince);
  }

  /// Returns the start of the registry's epoch, as far as known here.
  const EpochStart& Epoch() const { return m_epoch; }

  /// Number of zones and servers that are kept in spite of the restored state.
  std::size_t KeptCount() const;

  /// Whether other hosts may keep facts that this host lacks: it has listed the
  /// registry soon after a restore, and no other host has sent it all facts
  /// since.
  bool LacksKeptFacts(base::Instant aNow) const
  {
    return m_epoch.Keeps(aNow) && m_mergedEpoch < m_epoch.Epoch() &&
           HasCompleteListing();
  }

  /// Revision after which this host needs the changes from another host; 0 when
  /// it needs all facts.
  RegistryRevision PullFrom(base::Instant aNow) const;

  /// Completes a listing that began at `aRevision` and returned the facts named
  /// in `aFound`. Servers and zone entries known at that revision that were not
  /// returned are removed. Has no effect if a later state is known meanwhile.
  void EndListing(const RegistryRevision& aRevision,
                  const FactNames& aFound,
                  base::Instant aNow);

  /// Marks entries as gone that have been missing for longer than
  /// `kLapseGrace`, and drops records of removals that are older than
  /// `kForgetAfter`. Drops what was kept in spite of a restored state after
  /// `kKeptFor`; returns the number of facts dropped so. Call it regularly.
  std::size_t Tick(base::Instant aNow);

  /// Returns the part of the registry's history that is known.
  const KnownHistory& History() const { return m_history; }

  /// Returns whether a complete listing has been received.
  bool HasCompleteListing() const { return !m_history.IsEmpty(); }

  /// Returns whether a configuration and a complete listing have been received.
  bool IsComplete() const
  {
    return HasCompleteListing() && CurrentGlobal().m_version > 0;
  }

  /// Returns the current version of the configuration without its routes.
  const GlobalConfiguration& CurrentGlobal() const { return m_routes.Global(); }

  /// Returns the current version of the configuration with its routes.
  Configuration CurrentConfiguration() const
  {
    return m_routes.FullConfiguration();
  }

  /// Returns the route at `aAddress`, or null.
  const Route* FindRoute(const base::Endpoint& aAddress) const
  {
    return m_routes.Find(aAddress);
  }

  /// Returns the server start with `aToken`, or null.
  const ServerRecord* FindByToken(std::uint32_t aToken) const
  {
    return m_servers.FindByToken(aToken);
  }

  /// Whether new flows can be sent to `aServer`, regardless of health and load.
  bool CanAcceptFlow(const ServerRecord& aServer) const;

  /// Returns the servers of `aService` whose entries are listed or lapsed.
  ServiceIndex::Servers ServersOf(std::string_view aService) const
  {
    return m_servers.ByService().All(aService);
  }

  /// Returns the listed and lapsed servers by service and zone, for sampling.
  const ServiceIndex& ServersByService() const { return m_servers.ByService(); }

  /// Returns when this host learned that `aZone` was taken out of service;
  /// empty when the zone is in service.
  std::optional<base::Instant> ZoneOutSince(const std::string& aZone) const;

  /// Returns the facts that changed after `aRevision`, for another host to
  /// apply; with 0, all current facts. Empty when not every change after
  /// `aRevision` is known here.
  std::optional<std::vector<Fact>> FactsSince(const RegistryRevision& aRevision,
                                              base::Instant aNow) const;

  std::size_t ServerCount() const { return m_servers.Count(); }

private:
  struct ZoneRecord
  {
    bool m_out = false;
    base::Instant m_since;
    RegistryRevision m_revision;
    /// Revision of the contrary state in spite of which this one is kept.
    std::optional<RegistryRevision> m_keptAgainst{};
  };

  FactOutcome ApplyConfiguration(const Fact& aFact,
                                 base::Instant aNow,
                                 Origin aOrigin);
  FactOutcome ApplyRoute(const Fact& aFact, base::Instant aNow);
  FactOutcome ApplyZone(const Fact& aFact, base::Instant aNow);
  /// Whether a zone remains as it is in spite of its state at `aRevision`.
  bool Keeps(const ZoneRecord& aZone,
             const RegistryRevision& aRevision,
             base::Instant aNow) const;
  void EndZoneListing(const RegistryRevision& aRevision,
                      const FactNames& aFound,
                      base::Instant aNow);
  /// Applies the facts in a whole update of another host that are of earlier
  /// epochs, although the update is not later than what is known here.
  void MergeKept(const std::vector<Fact>& aFacts,
                 std::uint64_t aEpoch,
                 base::Instant aNow,
                 FactEvents& aEvents);
  std::size_t DropKeptZones(base::Instant aNow);
  void AppendZones(const RegistryRevision& aRevision,
                   std::vector<Fact>& aFacts) const;

  EpochStart m_epoch;
  /// Latest epoch of which another host has sent all facts.
  std::uint64_t m_mergedEpoch = 0;
  RouteTable m_routes;
  KnownHistory m_history;
  ServerRecords m_servers{ m_epoch };
  std::map<std::string, ZoneRecord> m_zones;
};

} // namespace wasabiloom::registry
