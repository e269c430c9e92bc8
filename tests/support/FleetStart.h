/// A fleet of strong and weak hosts whose power comes back.
#pragma once

#include "support/FleetNet.h"

namespace wasabiloom::tests {

/// Zones of such a fleet.
constexpr std::size_t kStartZones = 5;

/// How long hosts of one fleet take to be ready.
struct StartTimes
{
  base::Duration m_median{ 0 };
  /// Nine tenths are ready within this.
  base::Duration m_most{ 0 };
  base::Duration m_slowest{ 0 };
  /// Each host's, in rising order.
  std::vector<base::Duration> m_each;
  /// Hosts that are up and not ready after the longest wait.
  std::size_t m_unready = 0;
};

/// What goes wrong while a fleet starts.
enum class StartTrouble : std::uint8_t
{
  None,
  /// One datagram in a hundred is lost.
  Loss,
  /// Capable hosts, but the seeds, die as soon as they are ready.
  TellersDie,
  /// They stand still instead.
  TellersFreeze,
  /// The last zone can't reach the others.
  ZoneCut,
  /// The registry answers one host in ten.
  FewAnswered,
  /// The seeds stand still.
  SeedsFreeze,
  /// The seeds start 0.3 s after the others.
  SeedsLate,
};

/// Name of `aTrouble` for tables.
const char*
ToString(StartTrouble aTrouble);

/// Whether a host has half a core and 200 Mbit/s, in place of 0.12 of one and
/// 20 Mbit/s.
bool
IsCapable(std::size_t aHost);

/// Links and cores of `aHosts` hosts, some capable; no limit at the registry.
FleetLinks
LinksOf(std::size_t aHosts);

/// A net whose hosts are still down: one in thirteen is capable, the others
/// are not; the registry has one link of 1,000 Mbit/s and a listing of 1,805
/// routes and three servers for two hosts.
std::unique_ptr<FleetNet>
MakeStartingFleet(std::size_t aHosts, std::uint64_t aSeed);

/// Starts all hosts within 0.2 s, in no particular order, and waits 5 s.
StartTimes
StartAtOnce(FleetNet& aNet,
            std::size_t aHosts,
            StartTrouble aTrouble = StartTrouble::None);

} // namespace wasabiloom::tests
