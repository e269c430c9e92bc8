/// Few hosts read the registry; the others hear from them what changed.
#pragma once

#include "wasabiloom/fleet/LocalFacts.h"
#include "wasabiloom/fleet/SwimMembership.h"

#include <optional>
#include <random>

namespace wasabiloom::fleet {

/// Hosts of the fleet that read the registry while their news is fresh.
constexpr std::size_t kReaders = 1;

/// Longest news that is sent in a datagram; what is longer is pulled.
constexpr std::size_t kMaxUpdateBytes = 1000;

/// When a host that is no reader takes over.
struct RelayTiming
{
  /// A host reads when the last news is older.
  base::Duration m_maxUpdateAge = std::chrono::milliseconds(1800);
  /// Each rank within the zone, and each zone before the host's own, waits so
  /// much longer, up to kStaggered of both.
  base::Duration m_stagger = std::chrono::milliseconds(80);

  friend auto operator<=>(const RelayTiming&, const RelayTiming&) = default;
};

/// Ranks above this wait no longer than this one, and stand by.
constexpr std::size_t kStaggered = 5;

/// When so many others were not answered lately, those that stand by leave it
/// to them for longer: kStandbyPatience times the patience, and up to once the
/// patience more, each host another part of it.
constexpr std::size_t kSilentForStandby = 3;
constexpr double kStandbyAgeFactor = 1.5;
constexpr base::Duration kSilentLately = std::chrono::seconds(4);

/// News for one host.
struct RelayCopy
{
  base::Ipv4Address m_to;
  RelayedUpdate m_update;
};

/// Where a relay sends.
class RelayOutbox
{
public:
  virtual ~RelayOutbox();

  /// Sends each copy, all with the same statements on members.
  virtual void SendUpdates(const std::vector<RelayCopy>& aCopies) = 0;

  /// Tells the hosts of `aTo` that the registry did not answer this one.
  virtual void SendRegistrySilent(
    const std::vector<base::Ipv4Address>& aTo) = 0;

  /// Asks `aFrom` for all that changed after `aRevision`; OnPulled follows
  /// when it has answered.
  virtual void Pull(base::Ipv4Address aFrom, std::uint64_t aRevision) = 0;
};

/// Tells the fleet whatever the registry answers to this host, and passes on
/// what other hosts tell. News goes to one host of each zone, from there to
/// some of the zone, and from those to the rest, so that no host sends many
/// copies. Which hosts stand between changes with each news, and the news of
/// each answer is told twice, so that one lost datagram leaves no gap. One
/// thread at a time.
class FactRelay final
{
public:
  /// The references must outlive the relay.
  FactRelay(const RelayTiming& aTiming,
            std::uint64_t aSeed,
            const SwimMembership& aRoster,
            LocalFacts& aFacts,
            RelayOutbox& aOutbox);

  /// Sends what is new and sets the host's patience. To be called after each
  /// answer of the registry, and a few times a second.
  void Tick(base::Instant aNow);

  /// A peer at `aFrom` tells news.
  void OnRelayedUpdate(base::Ipv4Address aFrom,
                       const RelayedUpdate& aRelayed,
                       base::Instant aNow);

  /// The registry did not answer the host at `aFrom`.
  void OnRegistrySilent(base::Ipv4Address aFrom, base::Instant aNow);

  /// What was pulled has been taken in.
  void OnPullFinished(base::Instant aNow);

  /// Leaves reading to others from now on.
  void Leave() { m_leaving = true; }

  /// Whether this host reads on behalf of the fleet.
  bool IsReader() const;

private:
  /// News that waits for what it is to bring.
  struct Duty
  {
    bool m_toZone = false;
    std::vector<base::Ipv4Address> m_passTo;
    /// The receivers know everything up to here.
    std::uint64_t m_from = 0;
  };

  /// How many hosts read before this one.
  std::size_t Turn() const;
  base::Duration Patience(base::Instant aNow) const;
  void TellSilence(base::Instant aNow);
  void TellFleet(const registry::RegistryUpdate& aNews);
  /// Adds the copies that bring `aNews` to this host's zone.
  void AddZone(const registry::RegistryUpdate& aNews,
               std::vector<RelayCopy>& aCopies);
  void PassOn(const Duty& aDuty, base::Instant aNow);
  /// The members in random order, in which capable ones tend to come first.
  std::vector<base::Ipv4Address> Shuffle(
    const std::vector<const Member*>& aMembers);

  RelayTiming m_timing;
  std::mt19937_64 m_random;
  const SwimMembership& m_roster;
  LocalFacts& m_facts;
  RelayOutbox& m_outbox;
  base::Instant m_toldAt;
  std::uint64_t m_toldLast = 0;
  std::uint64_t m_toldBefore = 0;
  std::optional<Duty> m_duty;
  /// Hosts that were not answered, and when they said so.
  std::map<base::Ipv4Address, base::Instant> m_silent;
  base::Instant m_silenceToldAt;
  /// This host's part of the patience by which those that stand by differ.
  double m_standbyShare = 0;
  bool m_leaving = false;
};

} // namespace wasabiloom::fleet
