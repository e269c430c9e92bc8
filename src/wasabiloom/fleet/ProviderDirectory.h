/// Directs hosts that lack the registry's facts to hosts that can provide them.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/fleet/Member.h"
#include "wasabiloom/fleet/Message.h"

#include <deque>
#include <map>
#include <vector>

namespace wasabiloom::fleet {

/// Hosts of at least this capacity (see Member::m_capacity) list the registry
/// themselves when they start; the others first wait for a provider of the
/// facts.
constexpr std::uint32_t kMinListingCapacity = 25;

/// Number of hosts that one directory lets list the registry at the same time;
/// limits the load on the registry while a fleet starts.
constexpr std::uint32_t kMaxListersPerDirectory = 6;

/// A provider of capacity 1 counts as busy for kTellingTime with each host that
/// is directed to it. The time is divided by the capacity, but is never below
/// kLeastTellingTime.
constexpr base::Duration kTellingTime = std::chrono::milliseconds(100);
constexpr base::Duration kLeastTellingTime = std::chrono::milliseconds(2);

/// Hosts are directed to a provider only while it is busy for at most this much
/// longer.
constexpr base::Duration kTellersQueue = std::chrono::milliseconds(60);

/// A request for a provider is dropped after this time; hosts repeat their
/// request sooner.
constexpr base::Duration kAskingLife = std::chrono::milliseconds(800);

/// A provider that has not announced itself for this long may have gone, and is
/// no longer named.
constexpr base::Duration kTellerLife = std::chrono::seconds(10);

/// Sends the answers of the directory.
class ProviderDirectoryOutbox
{
public:
  virtual ~ProviderDirectoryOutbox();

  virtual void SendProviders(base::Ipv4Address aTo,
                             const Providers& aProviders) = 0;
};

/// Each host has one directory; the seed hosts of the settings are asked most.
/// The directory never directs more hosts to a provider than it can serve. Not
/// thread safe.
class ProviderDirectory
{
public:
  /// `aOutbox` must outlive the directory.
  explicit ProviderDirectory(ProviderDirectoryOutbox& aOutbox);

  /// Handles the announcement that `aTeller` can provide the facts; it may be
  /// this host itself.
  void OnFactsKnown(const Member& aTeller, base::Instant aNow);

  /// Handles a request for a provider. Answers `aAsker` at once, and again when
  /// a provider becomes free.
  void OnFactsWanted(const Member& aAsker, base::Instant aNow);

  /// Sets whether this host has listed the registry and found no configuration.
  /// The answers to requests report it.
  void SetAwaitsConfiguration(bool aWaits) { m_waits = aWaits; }

  /// Serves waiting hosts and drops expired entries. Call it several times per
  /// kTellersQueue while hosts wait.
  void Tick(base::Instant aNow);

  /// Number of hosts that wait for a provider.
  std::size_t WaitingCount() const { return m_waiting.size(); }

private:
  struct Teller
  {
    std::uint32_t m_capacity = 1;
    base::Instant m_knownAt;
    base::Instant m_busyUntil;
  };

  struct Asker
  {
    Member m_member;
    base::Instant m_since;
  };

  /// Directs `aAsker` to the provider that is free first; returns false when
  /// none is free soon enough.
  bool Lead(const Member& aAsker, base::Instant aNow);
  /// Returns how many other hosts may list the registry already, and records
  /// `aAsker` if it may list too; 0 for a host that is recorded.
  std::uint32_t ListersBefore(const Member& aAsker, base::Instant aNow);

  ProviderDirectoryOutbox& m_outbox;
  std::map<base::Ipv4Address, Teller> m_tellers;
  std::deque<Asker> m_waiting;
  std::map<base::Ipv4Address, base::Instant> m_listers;
  bool m_waits = false;
};

} // namespace wasabiloom::fleet
