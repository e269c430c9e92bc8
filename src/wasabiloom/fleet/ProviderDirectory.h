/// Leads hosts that know nothing yet to hosts that can tell them the facts.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/fleet/Member.h"
#include "wasabiloom/fleet/Message.h"

#include <deque>
#include <map>
#include <vector>

namespace wasabiloom::fleet {

/// Hosts of at least this capacity list the registry themselves when they
/// start; the others wait for a host that can tell.
constexpr std::uint32_t kMinListingCapacity = 25;

/// Hosts that one board lets list the registry at the same time.
constexpr std::uint32_t kMaxListersPerDirectory = 6;

/// A teller of capacity 1 is busy for so long with one host that asks; never
/// less than the second figure.
constexpr base::Duration kTellingTime = std::chrono::milliseconds(100);
constexpr base::Duration kLeastTellingTime = std::chrono::milliseconds(2);

/// Hosts are led to a teller that is busy for up to so long.
constexpr base::Duration kTellersQueue = std::chrono::milliseconds(60);

/// A host that asked is remembered for so long; it asks again before.
constexpr base::Duration kAskingLife = std::chrono::milliseconds(800);

/// A teller that said nothing for so long may have gone.
constexpr base::Duration kTellerLife = std::chrono::seconds(10);

/// Where a board sends.
class ProviderDirectoryOutbox
{
public:
  virtual ~ProviderDirectoryOutbox();

  virtual void SendProviders(base::Ipv4Address aTo,
                             const Providers& aTellers) = 0;
};

/// Every host holds one; the first hosts of the settings are asked most. Takes
/// care that no teller is given more hosts than it can serve. One thread at a
/// time.
class ProviderDirectory
{
public:
  /// `aOutbox` must outlive the board.
  explicit ProviderDirectory(ProviderDirectoryOutbox& aOutbox);

  /// `aTeller` can tell the facts; this host itself included.
  void OnFactsKnown(const Member& aTeller, base::Instant aNow);

  /// `aAsker` looks for a teller. It is answered at once, and again when one
  /// is free.
  void OnFactsWanted(const Member& aAsker, base::Instant aNow);

  /// Whether this host has listed the registry and found no configuration.
  void SetAwaitsConfiguration(bool aWaits) { m_waits = aWaits; }

  /// Time passed. To be called several times in kTellersQueue while hosts
  /// wait.
  void Tick(base::Instant aNow);

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

  /// Leads `aAsker` to the teller that is free first; false when none is.
  bool Lead(const Member& aAsker, base::Instant aNow);
  std::uint32_t ListersBefore(const Member& aAsker, base::Instant aNow);

  ProviderDirectoryOutbox& m_outbox;
  std::map<base::Ipv4Address, Teller> m_tellers;
  std::deque<Asker> m_waiting;
  std::map<base::Ipv4Address, base::Instant> m_listers;
  bool m_waits = false;
};

} // namespace wasabiloom::fleet
