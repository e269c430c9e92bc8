/// The records of backend servers, by start, token and id, with the revision of
/// each and the removals that other hosts may need.
#pragma once

#include "wasabiloom/registry/Facts.h"
#include "wasabiloom/registry/RouteTable.h"
#include "wasabiloom/registry/ServiceIndex.h"

#include <map>
#include <set>
#include <unordered_map>

namespace wasabiloom::registry {

/// State of a backend server's entry in the registry, as far as known here.
enum class Presence : std::uint8_t
{
  /// The entry exists.
  Listed,
  /// The entry disappeared although the server had not announced that it was
  /// draining. It may reappear within `kLapseGrace`.
  Lapsed,
  /// The server drained before its entry was removed, or the entry has been
  /// missing for longer than `kLapseGrace`.
  Gone,
  /// A later start of the server has registered under the same id.
  Replaced,
};

/// Returns the name of `aPresence` for logs. Thread safe.
std::string_view
ToString(Presence aPresence);

/// The latest known state of one start of a backend server process.
struct ServerRecord
{
  Server m_server;
  /// Identifies this start in callers' packets; never 0.
  std::uint32_t m_token = 0;
  Presence m_presence = Presence::Listed;
  /// When `m_presence` last changed.
  base::Instant m_presenceSince;
  /// When the server stops being cold.
  base::Instant m_coldUntil;
  /// Revision of the latest entry, or of its removal.
  RegistryRevision m_revision;
  /// Revision of the latest change that other hosts may need to learn. An entry
  /// that only repeats what is known raises `m_revision` alone.
  RegistryRevision m_changeRevision;
  /// The token of this start belongs to a server with a smaller id, so this
  /// start gets no flows.
  bool m_tokenCollides = false;
};

/// Returns the token of the start `aBorn` of the server `aId`. It is the
/// same on every host. Thread safe.
std::uint32_t
MakeToken(std::string_view aId, std::uint64_t aBorn);

/// A lapsed entry that reappears within this time is listed again; after it the
/// server counts as gone.
constexpr base::Duration kLapseGrace = std::chrono::milliseconds(2500);

/// How long the record of a gone or replaced start is kept, so that the
/// token in packets of its remaining flows can still be resolved.
constexpr base::Duration kForgetAfter = std::chrono::seconds(75);

/// Tolerance for the end of a server's cold period. A cold server counts as
/// cold again only when its entry moves the end back by more than this. Entries
/// are written about once a second and read some time later, so a smaller
/// difference is delay and no change.
constexpr base::Duration kSameCold = std::chrono::milliseconds(1500);

/// Applies the facts about backend servers. Never returns to an older revision
/// of a server's entry. When the registry was restored, a start that was
/// draining, gone or replaced remains so although the restored state says
/// otherwise, until its entry is written again or the facts kept are dropped.
/// Not thread safe: use it from one thread at a time.
class ServerRecords
{
public:
  /// `aEpoch` must outlive the records.
  explicit ServerRecords(const EpochStart& aEpoch)
    : m_epoch(aEpoch)
  {
  }

  /// Applies one fact of kind Server; see RegistryCache::Apply.
  FactOutcome Apply(const Fact& aFact, base::Instant aNow, Origin aOrigin);

  /// Removes the servers known at `aRevision` that a listing which began then
  /// did not return.
  void EndListing(const RegistryRevision& aRevision,
                  const FactNames& aFound,
                  base::Instant aNow);

  /// Marks entries as gone that have been missing for longer than
  /// `kLapseGrace`, and drops records that are older than `kForgetAfter`.
  /// Returns the latest revision of a dropped record, or 0.
  RegistryRevision Tick(base::Instant aNow);

  /// Applies what the registry says in place of the facts kept in spite of it;
  /// returns how many those were.
  std::size_t DropKept(base::Instant aNow);

  /// Number of facts kept in spite of the restored state.
  std::size_t KeptCount() const { return m_kept.size(); }

  /// Returns the server start with `aToken`, or null.
  const ServerRecord* FindByToken(std::uint32_t aToken) const;

  /// Returns the listed and lapsed servers by service and zone.
  const ServiceIndex& ByService() const { return m_byService; }

  /// Appends the entries and removals after `aRevision`; with 0, all current
  /// entries. Where a fact is kept, the entry of the restored state takes its
  /// place; with 0, it comes before the fact, so that the receiver keeps that
  /// for the same reason.
  void AppendChanges(const RegistryRevision& aRevision,
                     base::Instant aNow,
                     std::vector<Fact>& aFacts) const;

  std::size_t Count() const { return m_records.size(); }

private:
  /// Id of a server and one of its starts.
  using StartKey = std::pair<std::string, std::uint64_t>;

  /// Removal of the entry of a server that this host did not know. Another
  /// host may know the server, and is sent the removal.
  struct RemovalRecord
  {
    RegistryRevision m_revision;
    base::Instant m_at;
  };

  FactOutcome ApplyCurrent(const Fact& aFact,
                           ServerRecord* aKnown,
                           base::Instant aNow,
                           Origin aOrigin);
  /// Whether `aFact` is an entry of the restored state that the registry has
  /// replaced before, by what is known of `aKnown`.
  bool IsOutdated(const Fact& aFact,
                  const ServerRecord& aKnown,
                  base::Instant aNow) const;
  /// Keeps `aKnown` as it is in spite of `aFact`.
  FactOutcome Keep(const Fact& aFact, ServerRecord& aKnown, base::Instant aNow);
  /// Applies a fact that another host has kept in spite of the entry known
  /// here.
  FactOutcome ApplyKept(const Fact& aFact,
                        ServerRecord& aKnown,
                        base::Instant aNow);
  FactOutcome RecordRemoval(const Fact& aFact, base::Instant aNow);
  FactOutcome ApplyEntry(const Server& aServer,
                         const RegistryRevision& aRevision,
                         ServerRecord* aKnown,
                         base::Instant aNow,
                         Origin aOrigin);
  FactOutcome RemoveServer(ServerRecord& aRecord,
                           const RegistryRevision& aRevision,
                           base::Instant aNow);
  /// Notes that the entry of `aRecord` is missing in a listing.
  void NoteMissing(ServerRecord& aRecord,
                   const RegistryRevision& aRevision,
                   base::Instant aNow);
  /// Returns the record of this start as the latest of its server.
  ServerRecord& Add(const Server& aServer);
  void SetPresence(ServerRecord& aRecord,
                   Presence aPresence,
                   base::Instant aNow);
  /// Drops the record of a start; returns its revision.
  RegistryRevision Forget(const StartKey& aStart);
  /// Drops removals recorded before `aBefore`; returns the latest revision
  /// among them, or 0.
  RegistryRevision ForgetRemovals(base::Instant aBefore);

  const EpochStart& m_epoch;
  /// Entries of the restored state in spite of which a fact is kept, by id.
  std::map<std::string, Fact, std::less<>> m_kept;
  /// Owns the records; all other containers refer to them.
  std::map<StartKey, ServerRecord> m_records;
  /// Of several starts with the same token, that of the smallest id.
  std::unordered_map<std::uint32_t, ServerRecord*> m_byToken;
  /// The latest start under each id.
  std::map<std::string, ServerRecord*, std::less<>> m_byId;
  std::map<std::string, RemovalRecord, std::less<>> m_removals;
  ServiceIndex m_byService;
  /// The starts that are not listed.
  std::set<StartKey> m_away;
};

} // namespace wasabiloom::registry
