/// Limits the opening packets that cold servers receive from all hosts.
///
/// Load problem addressed: a cold server is overloaded by a few requests, but
/// needs some to become warm, and hosts that cannot hear each other must stay
/// within the limit together.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>
#include <unordered_map>

namespace wasabiloom::placing {

/// Allowance of a cold server in opening packets a second, over all hosts:
/// kColdFactor times the limit of the configuration, plus kColdMargin.
constexpr double kColdFactor = 1.5;
constexpr double kColdMargin = 5;

/// Number of sides of a partition whose hosts may use the allowance at a time
/// without knowing each other.
constexpr std::uint32_t kPartitionSides = 2;

/// Time for which a larger number of hosts is remembered at least. It exceeds
/// the usual length of a partition.
constexpr base::Duration kHostCountMemory = std::chrono::minutes(10);

/// Time after the first number of hosts during which nothing is sent to cold
/// servers: a host that has just started doesn't know all others.
constexpr base::Duration kHostCountSettling = std::chrono::seconds(3);

/// Shortest interval in which a cold server gets as many packets as this host
/// may send in a second. It is longer than a second, as delays on the way can
/// bring packets closer together.
constexpr base::Duration kQuotaInterval = std::chrono::milliseconds(1100);

/// Position of this host among the live hosts of its zone.
struct HostPosition
{
  /// Number of live hosts, including this one.
  std::uint32_t m_count = 1;
  /// Rank from 0 on, on which the hosts that know each other agree.
  std::uint32_t m_rank = 0;

  friend auto operator<=>(const HostPosition&, const HostPosition&) = default;
};

/// This host's part of the allowances of cold servers of its zone. Not thread
/// safe.
class ColdQuota
{
public:
  /// Sets the hosts of the zone that are live. Call it several times a second.
  void SetHosts(const HostPosition& aPosition, base::Instant aNow);

  /// Whether an opening packet can be sent to the cold server `aToken` now.
  /// `aPerSecond`: the limit of its service.
  bool MaySend(std::uint32_t aToken,
               double aPerSecond,
               base::Instant aNow) const;

  /// Records an opening packet to the cold server `aToken`.
  void OnSent(std::uint32_t aToken, base::Instant aNow);

  /// Removes the records of servers that got no packet lately.
  void Sweep(base::Instant aNow);

  /// Number of packets recorded since the start of the process.
  std::uint64_t SentCount() const { return m_sent; }

private:
  std::uint32_t AssumedHosts() const;
  std::uint32_t PacketsPerSecond(std::uint32_t aToken, double aPerSecond) const;

  HostPosition m_position;
  base::Instant m_firstAt;
  /// Largest numbers of hosts in the present period and the one before.
  base::Instant m_periodSince;
  std::uint32_t m_largest = 1;
  std::uint32_t m_largestBefore = 1;
  std::unordered_map<std::uint32_t, base::Instant> m_sentAt;
  std::uint64_t m_sent = 0;
};

} // namespace wasabiloom::placing
