/// A fleet of rosters and relays on virtual time, without a network.
#pragma once

#include "support/Registry.h"
#include "wasabiloom/fleet/FactRelay.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace wasabiloom::tests {

/// Span between two ticks of a host.
constexpr base::Duration kFleetTick = std::chrono::milliseconds(50);

/// Hosts in zones, a registry, and links that lose and can be cut. Equal seeds
/// give equal runs.
class FleetNet
{
public:
  /// `aHosts` in `aZones` zones in turn; the first hosts of zones are seeds.
  FleetNet(std::size_t aHosts, std::size_t aZones, std::uint64_t aSeed);
  ~FleetNet();

  void RunFor(base::Duration aSpan);

  /// Ends a host's process, or starts it again.
  void Kill(std::size_t aHost);
  void Start(std::size_t aHost);

  /// A frozen host neither runs nor hears; its process goes on after Thaw.
  void Freeze(std::size_t aHost);
  void Thaw(std::size_t aHost);

  /// Whether a datagram between two hosts is lost for good.
  std::function<bool(std::size_t, std::size_t)> m_cut;
  /// Whether the registry does not answer a host.
  std::function<bool(std::size_t)> m_silent;
  double m_loss = 0;

  /// The registry goes on to its next revision.
  void Publish();

  const fleet::Roster& RosterOf(std::size_t aHost) const;
  std::uint64_t RevisionOf(std::size_t aHost) const;
  bool IsReader(std::size_t aHost) const;
  base::Ipv4Address AddressOf(std::size_t aHost) const;

  /// Hosts that hold `aHost` for gone.
  std::size_t CountGone(std::size_t aHost) const;

  std::uint64_t Calls() const { return m_calls; }
  std::uint64_t Pulls() const { return m_pulls; }
  /// Bytes sent by all hosts, as encoded.
  std::uint64_t Bytes() const { return m_bytes; }
  /// Times that a host held a running one for gone.
  std::uint64_t FalseDepartures() const { return m_falseDepartures; }
  base::Instant Now() const { return m_now; }

private:
  class Host;
  friend class Host;

  struct Datagram
  {
    base::Instant m_at;
    std::uint64_t m_order = 0;
    std::size_t m_to = 0;
    std::string m_bytes;

    bool operator>(const Datagram& aOther) const
    {
      return std::tie(m_at, m_order) > std::tie(aOther.m_at, aOther.m_order);
    }
  };

  void Send(std::size_t aFrom, base::Ipv4Address aTo, std::string aBytes);
  bool IsUp(std::size_t aHost) const;

  std::size_t m_zones;
  std::mt19937_64 m_random;
  base::Instant m_now = At(0);
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::vector<bool> m_frozen;
  std::vector<Datagram> m_queue;
  std::uint64_t m_order = 0;
  std::uint64_t m_starts = 0;
  std::uint64_t m_revision = 10;
  std::uint64_t m_calls = 0;
  std::uint64_t m_pulls = 0;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_falseDepartures = 0;
};

} // namespace wasabiloom::tests
