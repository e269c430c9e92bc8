/// Detects that this host cannot reach any host of another zone.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/fleet/Message.h"
#include "wasabiloom/fleet/SwimMembership.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace wasabiloom::fleet {

/// Interval between the probes of hosts in other zones. Shorter than that of
/// the membership, which takes seconds to find a partition.
constexpr base::Duration kReachabilityInterval = std::chrono::milliseconds(150);

/// Number of zones in which one host is probed at each interval. All zones take
/// their turn, because some of them may be behind a partition.
constexpr std::size_t kZonesAtOnce = 3;

/// Silence that is assumed before the first answer, so that a host that starts
/// behind a partition does not count as connected.
constexpr base::Duration kInitialSilence = std::chrono::milliseconds(500);

/// Probes hosts of other zones while it is watching. Not thread safe.
class ZoneReachability
{
public:
  /// `aMembership` must outlive this object and sends its probes.
  ZoneReachability(std::uint64_t aSeed, SwimMembership& aMembership);

  /// Starts or stops watching. Has no effect if already in that state.
  void SetWatching(bool aIsWatching);

  /// Handles a message of another host.
  void OnMessage(const Message& aMessage);

  /// Sends probes that are due. Call it several times per
  /// kReachabilityInterval.
  void Tick(base::Instant aNow);

  /// Time for which this object has been watching and no host of another zone
  /// has answered; longer by kInitialSilence if none ever has. Time for which
  /// this process did not run is not counted.
  base::Duration SilentFor() const { return m_silence; }

private:
  using Targets = std::map<std::string, std::vector<base::Ipv4Address>>;

  void AdoptMembers();
  void ProbeZones();

  SwimMembership& m_membership;
  std::mt19937_64 m_random;
  bool m_isWatching = false;
  bool m_wasAnswered = false;
  /// Hosts of other zones by zone, including those that the membership has
  /// given up since this object began to watch.
  Targets m_targets;
  /// The zone that was probed last.
  std::string m_lastZone;
  base::Duration m_silence{ 0 };
  base::Instant m_tickedAt;
  base::Instant m_probedAt;
};

} // namespace wasabiloom::fleet
