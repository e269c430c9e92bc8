/// Distributes changes of the registry: few hosts read the registry and relay
/// to the others what has changed.
#pragma once

#include "wasabiloom/fleet/LocalFacts.h"
#include "wasabiloom/fleet/SwimMembership.h"

#include <optional>
#include <random>

namespace wasabiloom::fleet {

/// Number of hosts that read the registry on behalf of the fleet. The other
/// hosts read it only when relayed updates are overdue.
constexpr std::size_t kReaders = 1;

/// Longest encoded update that is sent in a datagram with its facts, in bytes.
/// Receivers pull the facts of longer updates.
constexpr std::size_t kMaxUpdateBytes = 1000;

/// Delays after which a host that is not a reader reads the registry itself.
struct RelayTiming
{
  /// A host reads the registry when its last update is older than this.
  base::Duration m_maxUpdateAge = std::chrono::milliseconds(1800);
  /// Additional delay for each host that ranks before this one in its zone and
  /// for each zone that ranks before its own, for at most kStaggered of both
  /// together. Hosts thus take over one after another.
  base::Duration m_stagger = std::chrono::milliseconds(80);

  friend auto operator<=>(const RelayTiming&, const RelayTiming&) = default;
};

/// Number of hosts and zones ranked before a host from which on it stands by:
/// its delay does not grow further, and it retries less often after failures.
constexpr std::size_t kStaggered = 5;

/// When at least kSilentForStandby other hosts reported within kSilentLately
/// that the registry did not answer them, hosts that stand by leave reading to
/// others for longer: for kStandbyAgeFactor times the usual delay, plus a
/// random part, different on each host, of up to once that delay.
constexpr std::size_t kSilentForStandby = 3;
constexpr double kStandbyAgeFactor = 1.5;
constexpr base::Duration kSilentLately = std::chrono::seconds(4);

/// An update addressed to one host.
struct RelayCopy
{
  base::Ipv4Address m_to;
  RelayedUpdate m_update;
};

/// Sends the messages of the relay.
class RelayOutbox
{
public:
  virtual ~RelayOutbox();

  /// Sends each copy. All copies carry the same statements on members.
  virtual void SendUpdates(const std::vector<RelayCopy>& aCopies) = 0;

  /// Tells the hosts in `aTo` that the registry did not answer this host.
  virtual void SendRegistrySilent(
    const std::vector<base::Ipv4Address>& aTo) = 0;

  /// Requests from `aFrom` everything that changed after `aRevision`.
  /// FactRelay::OnPullFinished follows when it has answered.
  virtual void Pull(base::Ipv4Address aFrom,
                    const registry::RegistryRevision& aRevision) = 0;
};

/// Relays each answer of the registry to the fleet, and forwards the updates of
/// other hosts. An update goes to one host of each zone, from there to some
/// hosts of the zone, and from those to the rest, so that no host sends many
/// copies. The forwarding hosts are drawn again for each update, and the
/// changes of each answer are repeated with the next one, so that one lost
/// datagram leaves no gap. Not thread safe.
class FactRelay final
{
public:
  /// The references must outlive the relay.
  FactRelay(const RelayTiming& aTiming,
            std::uint64_t aSeed,
            const SwimMembership& aRoster,
            LocalFacts& aFacts,
            RelayOutbox& aOutbox);

  /// Relays a new answer of the registry and sets when this host reads the
  /// registry itself. Call it after each answer of the registry, and a few
  /// times per second.
  void Tick(base::Instant aNow);

  /// Handles an update relayed by the peer at `aFrom`.
  void OnRelayedUpdate(base::Ipv4Address aFrom,
                       const RelayedUpdate& aRelayed,
                       base::Instant aNow);

  /// Handles the report that the registry did not answer the host at `aFrom`.
  void OnRegistrySilent(base::Ipv4Address aFrom, base::Instant aNow);

  /// Forwards the update that waited for a pull. Call it when the pulled facts
  /// have been applied.
  void OnPullFinished(base::Instant aNow);

  /// Stops reading on behalf of the fleet, as this host is about to leave.
  void Leave() { m_leaving = true; }

  /// Whether this host reads the registry on behalf of the fleet.
  bool IsReader() const;

private:
  /// An update to forward as soon as this host knows its facts.
  struct Duty
  {
    bool m_toZone = false;
    std::vector<base::Ipv4Address> m_passTo;
    /// Revision up to which the receivers know all changes.
    registry::RegistryRevision m_from;
  };

  /// Number of hosts of the zone and of other zones that take over reading
  /// before this host.
  std::size_t Turn() const;
  base::Duration Patience(base::Instant aNow) const;
  void TellSilence(base::Instant aNow);
  void TellFleet(const registry::RegistryUpdate& aUpdate);
  /// Adds the copies that distribute `aUpdate` in this host's zone.
  void AddZone(const registry::RegistryUpdate& aUpdate,
               std::vector<RelayCopy>& aCopies);
  void PassOn(const Duty& aDuty, base::Instant aNow);
  /// Returns the members in a random order in which hosts of higher capacity
  /// tend to come first.
  std::vector<base::Ipv4Address> Shuffle(
    const std::vector<const Member*>& aMembers);

  RelayTiming m_timing;
  std::mt19937_64 m_random;
  const SwimMembership& m_roster;
  LocalFacts& m_facts;
  RelayOutbox& m_outbox;
  base::Instant m_toldAt;
  registry::RegistryRevision m_toldLast;
  registry::RegistryRevision m_toldBefore;
  std::optional<Duty> m_duty;
  /// Hosts that the registry did not answer, and the time of their last report.
  std::map<base::Ipv4Address, base::Instant> m_silent;
  base::Instant m_silenceToldAt;
  /// Random factor between 0 and 1 by which the delays of hosts that stand by
  /// differ.
  double m_standbyShare = 0;
  bool m_leaving = false;
};

} // namespace wasabiloom::fleet
