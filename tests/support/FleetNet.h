/// A fleet of hosts that search, tell and relay on virtual time, without a
/// network.
#pragma once

#include "support/Registry.h"
#include "support/TimedEvent.h"
#include "wasabiloom/fleet/FactRelay.h"
#include "wasabiloom/fleet/LoadExchange.h"
#include "wasabiloom/fleet/ProviderDirectory.h"
#include "wasabiloom/fleet/ProviderSearch.h"
#include "wasabiloom/fleet/ZoneReachability.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace wasabiloom::tests {

/// Span between two ticks of a host that is not ready, and of one that is.
constexpr base::Duration kSearchTick = std::chrono::milliseconds(10);
constexpr base::Duration kFleetTick = std::chrono::milliseconds(50);

/// Bandwidths and sizes; a bandwidth of 0 takes no time.
struct FleetLinks
{
  /// Bytes a second of each host's link, by host; empty for no limit.
  std::vector<double> m_hosts;
  /// Share of a core of each host, which counts towards its capacity.
  std::vector<double> m_cores;
  double m_registry = 0;
  /// Bytes of the registry's whole listing, and of all facts as peers tell
  /// them.
  double m_listing = 0;
  double m_packed = 0;
  /// Interval of the hosts' load reports; zero for none.
  base::Duration m_loadInterval{ 0 };
};

/// What one host has sent and received, in bytes.
struct HostBytes
{
  double m_sent = 0;
  double m_received = 0;
};

/// Hosts in zones, a registry, and links that lose, take time and can be cut.
/// Equal seeds give equal runs.
class FleetNet
{
public:
  /// `aHosts` in `aZones` zones in turn; the first hosts of zones are seeds.
  /// All are started unless `aStarted` is false.
  FleetNet(std::size_t aHosts,
           std::size_t aZones,
           std::uint64_t aSeed,
           bool aStarted = true,
           FleetLinks aLinks = {});
  ~FleetNet();

  void RunFor(base::Duration aSpan);

  /// Ends a host's process, or starts it again.
  void Kill(std::size_t aHost);
  void Start(std::size_t aHost);

  /// A frozen host neither runs nor hears; its process goes on after Thaw.
  void Freeze(std::size_t aHost);
  void Thaw(std::size_t aHost);

  /// Whether what one host sends another is lost for good.
  std::function<bool(std::size_t, std::size_t)> m_cut;
  /// Whether the registry does not answer a host.
  std::function<bool(std::size_t)> m_silent;
  /// Whether it refuses a host's calls at once instead.
  bool m_refuses = false;
  double m_loss = 0;
  /// What a host observes of the load, as an average from one time to another.
  std::function<placing::HostLoad(std::size_t, base::Instant, base::Instant)>
    m_loadOf;
  placing::GroupSlots m_slots;

  /// The registry goes on to its next revision, and version.
  void Publish();

  /// The registry discards the history of all changes so far, so that they can
  /// only be listed.
  void DropHistory() { m_historyFrom = m_revision; }

  /// The registry loses its last change, the current version, and begins a new
  /// epoch. Precondition: it was published after the last entry of a server.
  void Restore();

  /// Whether the registry holds no configuration yet.
  void WithholdConfiguration(bool aWithheld) { m_withheld = aWithheld; }

  /// Enters `aCount` servers, which are cold for `aCold` from now on.
  void EnterServers(std::size_t aCount, base::Duration aCold);

  /// Servers `aFrom` up to `aTo` renew their entries, which say how much
  /// longer they are cold.
  void RenewEntries(std::size_t aFrom, std::size_t aTo);

  const fleet::SwimMembership& RosterOf(std::size_t aHost) const;
  fleet::ZoneReachability& ReachabilityOf(std::size_t aHost);
  const placing::LoadTable& LoadTableOf(std::size_t aHost) const;
  const fleet::LoadTotals& LoadTotalsOf(std::size_t aHost) const;

  /// The number of the revision that a host knows, and its epoch.
  std::uint64_t RevisionOf(std::size_t aHost) const;
  std::uint64_t EpochOf(std::size_t aHost) const;
  std::uint64_t VersionOf(std::size_t aHost) const;
  std::uint64_t LatestVersion() const { return m_version; }
  bool IsReader(std::size_t aHost) const;
  base::Ipv4Address AddressOf(std::size_t aHost) const;

  /// Whether a host's process runs and is not frozen.
  bool IsUp(std::size_t aHost) const;

  /// Time from a host's last start until it knew the facts; empty while it
  /// does not.
  std::optional<base::Duration> TimeToReady(std::size_t aHost) const;

  /// Hosts that hold `aHost` for gone.
  std::size_t CountGone(std::size_t aHost) const;

  std::uint64_t Calls() const { return m_calls; }
  /// Listings that began.
  std::uint64_t Listings() const { return m_listings; }
  std::uint64_t Pulls() const { return m_pulls; }
  /// Bytes sent by all hosts, as encoded.
  std::uint64_t Bytes() const { return m_bytes; }
  const HostBytes& BytesOf(std::size_t aHost) const { return m_each[aHost]; }
  /// Times that a host held a running one for gone, other than by hearsay of
  /// what was concluded while it stood still.
  std::uint64_t FalseDepartures() const { return m_falseDepartures; }
  base::Instant Now() const { return m_now; }

private:
  class Host;
  friend class Host;

  void Send(std::size_t aFrom, base::Ipv4Address aTo, std::string aBytes);
  void Later(base::Instant aAt, std::function<void()> aRun);
  void TickHosts();
  void NoteGone(const fleet::Member& aMember);
  bool IsLost(std::size_t aFrom, std::size_t aTo);
  base::Duration Delay(std::size_t aFrom, std::size_t aTo) const;
  /// When `aBytes` that are there at `aFrom` have passed the link whose time
  /// is `aFreeAt`.
  static base::Instant Pass(base::Instant& aFreeAt,
                            base::Instant aFrom,
                            double aBytes,
                            double aBytesPerSecond);
  /// When `aBytes` sent now by one host have arrived at another.
  base::Instant Transfer(std::size_t aFrom, std::size_t aTo, double aBytes);
  /// When an answer of the registry asked for now has arrived.
  base::Instant TransferAnswer(std::size_t aTo, double aBytes);
  /// What the registry holds that is newer than `aRevision`.
  std::vector<registry::Fact> FactsAfter(std::uint64_t aRevision) const;
  double LinkOf(std::size_t aHost) const;
  std::uint32_t CapacityOf(std::size_t aHost) const;

  std::size_t m_zones;
  FleetLinks m_links;
  std::mt19937_64 m_random;
  base::Instant m_now = At(0);
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::vector<bool> m_frozen;
  /// Incarnation that was held for gone while the host did not run.
  std::vector<std::uint64_t> m_condemned;
  std::vector<base::Instant> m_outFree;
  std::vector<base::Instant> m_inFree;
  std::vector<HostBytes> m_each;
  base::Instant m_registryFree;
  std::vector<TimedEvent> m_queue;
  std::uint64_t m_order = 0;
  std::uint64_t m_ticks = 0;
  std::uint64_t m_starts = 0;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_revision = 10;
  /// Revision before which the registry has no history.
  std::uint64_t m_historyFrom = 0;
  std::uint64_t m_version = 10;
  std::uint64_t m_versionRevision = 10;
  bool m_withheld = false;
  std::vector<registry::Fact> m_servers;
  base::Instant m_coldUntil;
  std::uint64_t m_calls = 0;
  std::uint64_t m_listings = 0;
  std::uint64_t m_pulls = 0;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_falseDepartures = 0;
};

} // namespace wasabiloom::tests
