/// Few hosts read the registry; the others hear from them what changed.
#pragma once

#include "wasabiloom/fleet/FactPool.h"
#include "wasabiloom/fleet/Roster.h"

namespace wasabiloom::fleet {

/// Hosts of a zone that read the registry while their news is fresh.
constexpr std::size_t kReadersAZone = 1;

/// Longest news that is sent in a datagram; what is longer is pulled.
constexpr std::size_t kMaxNewsBytes = 1000;

/// When a host that is no reader takes over.
struct RelayTiming
{
  /// The host next in rank reads when the last news is older.
  base::Duration m_patience = std::chrono::milliseconds(1800);
  /// Each further rank waits so much longer, up to kStaggered ranks.
  base::Duration m_stagger = std::chrono::milliseconds(80);

  friend auto operator<=>(const RelayTiming&, const RelayTiming&) = default;
};

/// Ranks above this wait no longer than this one.
constexpr std::size_t kStaggered = 5;

/// Where a relay sends.
class RelayOutbox
{
public:
  virtual ~RelayOutbox();

  /// Sends `aNews` to every host of `aTo`.
  virtual void SendNews(const std::vector<base::Ipv4Address>& aTo,
                        const registry::News& aNews) = 0;

  /// Asks `aFrom` for all that changed after `aRevision`.
  virtual void Pull(base::Ipv4Address aFrom, std::uint64_t aRevision) = 0;
};

/// Tells the zone whatever the registry answers to this host, and takes in
/// what other hosts tell. The news of each answer is told twice, so that one
/// lost datagram leaves no gap. One thread at a time.
class FactRelay final
{
public:
  /// The references must outlive the relay.
  FactRelay(const RelayTiming& aTiming,
            const Roster& aRoster,
            FactPool& aFacts,
            RelayOutbox& aOutbox);

  /// Sends what is new and sets the host's patience. To be called after each
  /// answer of the registry, and a few times a second.
  void Tick(base::Instant aNow);

  /// A peer at `aFrom` tells news.
  void OnNews(base::Ipv4Address aFrom,
              const registry::News& aNews,
              base::Instant aNow);

  /// Leaves reading to others from now on.
  void Leave() { m_leaving = true; }

  /// Whether this host reads on behalf of its zone.
  bool IsReader() const;

private:
  base::Duration Patience() const;

  RelayTiming m_timing;
  const Roster& m_roster;
  FactPool& m_facts;
  RelayOutbox& m_outbox;
  base::Instant m_toldAt;
  std::uint64_t m_toldLast = 0;
  std::uint64_t m_toldBefore = 0;
  bool m_leaving = false;
};

} // namespace wasabiloom::fleet
