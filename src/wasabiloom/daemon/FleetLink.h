/// Task for the communication of a host with the other hosts of the fleet.
#pragma once

#include "wasabiloom/daemon/PeerFacts.h"
#include "wasabiloom/daemon/UdpSocket.h"
#include "wasabiloom/fleet/FactRelay.h"
#include "wasabiloom/fleet/LoadExchange.h"
#include "wasabiloom/fleet/ProviderDirectory.h"
#include "wasabiloom/fleet/ProviderSearch.h"
#include "wasabiloom/fleet/ZoneReachability.h"
#include "wasabiloom/placing/ColdQuota.h"
#include "wasabiloom/settings/TokenHostSettings.h"

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace wasabiloom::daemon {

/// Exchanges the datagrams of the membership and the relay, and pulls facts
/// over HTTP. Use it on the thread that created it.
class FleetLink final
  : public QObject
  , private fleet::MembershipOutbox
  , private fleet::RelayOutbox
  , private fleet::SearchOutbox
  , private fleet::ProviderDirectoryOutbox
  , private fleet::LoadOutbox
{
public:
  /// `aFacts` and `aLoad` must outlive the link. `aOnLearned` is called after
  /// facts have been received.
  FleetLink(const settings::TokenHostSettings& aSettings,
            fleet::LocalFacts& aFacts,
            fleet::LocalLoad& aLoad,
            std::function<void()> aOnLearned);
  ~FleetLink() override;

  /// Binds the socket and begins the search for facts. Errors: SocketFailed.
  base::Result<void> Start(base::Instant aNow);

  /// Applies changed seeds.
  void Reload(const settings::TokenHostSettings& aSettings);

  /// Sends the changes in the last response of the registry to the fleet.
  void RelayUpdates(base::Instant aNow) { m_relay.Tick(aNow); }

  /// Must be called several times per probe interval, and more often while the
  /// host is not ready. `aIsCutOff`: calls on the registry have failed for some
  /// time.
  void Tick(bool aIsCutOff, base::Instant aNow);

  /// Announces the departure of this host.
  void Leave();

  /// Starts or stops watching whether other zones can be reached.
  void WatchOtherZones(bool aIsWatching)
  {
    m_reachability.SetWatching(aIsWatching);
  }

  /// See fleet::ZoneReachability::SilentFor.
  base::Duration OtherZonesSilentFor() const
  {
    return m_reachability.SilentFor();
  }

  /// Position of this host among the members of its zone that are not gone.
  placing::HostPosition ZonePosition() const;

  const fleet::SwimMembership& GetMembership() const { return m_membership; }
  const fleet::LoadTotals& GetLoadTotals() const
  {
    return m_loadExchange.Totals();
  }

private:
  void SendTo(base::Ipv4Address aTo, const fleet::Message& aMessage) override;
  void OnMemberState(const fleet::Member& aMember) override;
  void SendUpdates(const std::vector<fleet::RelayCopy>& aCopies) override;
  void SendRegistrySilent(const std::vector<base::Ipv4Address>& aTo) override;
  void Pull(base::Ipv4Address aFrom,
            const registry::RegistryRevision& aRevision) override;
  void SendContent(base::Ipv4Address aTo,
                   const fleet::Content& aContent) override;
  void PullInitialFacts(base::Ipv4Address aFrom,
                        const registry::RegistryRevision& aRevision) override;
  void SendProviders(base::Ipv4Address aTo,
                     const fleet::Providers& aProviders) override;
  void SendLoad(base::Ipv4Address aTo, const fleet::Message& aMessage) override;

  void OnReadable();
  void OnPulled(const registry::RegistryUpdate& aUpdate);
  void OnMessage(const fleet::Message& aMessage, base::Instant aNow);
  void RegisterProviders(base::Instant aNow);
  void ReportMembers(base::Instant aNow);
  void ReportRefused(const base::Endpoint& aFrom,
                     const base::Problem& aProblem,
                     base::Instant aNow);
  void SendBytes(base::Ipv4Address aTo, const std::string& aBytes);
  void SetFirstPeers();

  settings::TokenHostSettings m_settings;
  fleet::LocalFacts& m_facts;
  std::function<void()> m_onLearned;
  fleet::SwimMembership m_membership;
  fleet::ZoneReachability m_reachability;
  fleet::FactRelay m_relay;
  fleet::ProviderDirectory m_directory;
  fleet::ProviderSearch m_search;
  fleet::LoadExchange m_loadExchange;
  PeerFacts m_peerFacts;
  base::Instant m_readySince;
  /// Members whose state has changed since the last log line on members.
  std::map<fleet::MemberState, std::vector<base::Ipv4Address>> m_changedMembers;
  base::Instant m_membersReportedAt;
  std::uint64_t m_refused = 0;
  base::Instant m_refusedReportedAt;
  std::unique_ptr<UdpSocket> m_socket;
  std::unique_ptr<QSocketNotifier> m_notifier;
};

} // namespace wasabiloom::daemon
