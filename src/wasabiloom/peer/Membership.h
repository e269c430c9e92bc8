/// Which entry hosts are live, learned from the host list and heartbeats.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Time.h"
#include "wasabiloom/peer/HostView.h"
#include "wasabiloom/peer/Outbox.h"

#include <map>
#include <string>
#include <vector>

namespace wasabiloom::peer {

/// Interval between heartbeats to each peer.
constexpr base::Duration kHeartbeatInterval = std::chrono::milliseconds(650);

/// A peer unheard for this long is taken for dead.
constexpr base::Duration kPeerTimeout = std::chrono::milliseconds(2000);

/// After a change of owners the previous ones are asked for so long. Longer
/// than the hosts take to learn of the change.
constexpr base::Duration kHandoverTime = std::chrono::seconds(10);

/// An entry host as the host list names it.
struct PeerAddress
{
  std::string m_name;
  std::string m_zone;
  base::Endpoint m_peer;
  base::Endpoint m_relay;

  friend auto operator<=>(const PeerAddress&, const PeerAddress&) = default;
};

/// Versions of what this host has learned, as its heartbeats tell them.
struct KnownVersions
{
  std::uint64_t m_bundle = 0;
  std::uint64_t m_list = 0;

  friend auto operator<=>(const KnownVersions&, const KnownVersions&) = default;
};

/// Heartbeats to every peer of the host list. One thread at a time.
class Membership final : public HostView
{
public:
  /// `aOutbox` must outlive the membership.
  Membership(base::HostId aSelf, std::uint64_t aIncarnation, Outbox& aOutbox);

  base::HostId Self() const override { return m_self; }
  bool IsLive(base::HostId aHost) const override;
  bool IsLiveProcess(base::HostId aHost,
                     std::uint64_t aIncarnation) const override;
  std::uint64_t Incarnation() const override { return m_incarnation; }
  const std::vector<base::HostId>& LivePeers() const override;
  base::HostId OwnerOf(std::uint64_t aGroup,
                       std::size_t aMember) const override;
  base::HostId BackupOf(std::uint64_t aGroup,
                        std::size_t aMember,
                        base::HostId aOther) const override;

  /// Whether `aHost` is a peer that, as far as known, is joining.
  bool IsJoining(base::HostId aHost) const;

  /// First owner of the group before the owners last changed; the present one
  /// when that was longer ago than kHandoverTime. Hosts whose process has
  /// started since are left out.
  base::HostId PreviousOwnerOf(std::uint64_t aGroup, base::Instant aNow) const;

  base::Instant LastDeparture() const override { return m_lastDeparture; }
  std::uint64_t Generation() const override { return m_generation; }

  /// Adopts the host list; this host's own entry is passed over. Peers that
  /// the list no longer names stay while they are heard.
  void SetPeers(const std::vector<PeerAddress>& aPeers, base::Instant aNow);

  /// Notes a message from `aFrom`. False when the message must be ignored: the
  /// sender is not in the list, or a newer process uses its name.
  bool Hear(base::HostId aFrom, std::uint64_t aIncarnation, base::Instant aNow);

  /// Notes a message to `aTo`: it says that this host lives as well as a
  /// heartbeat does.
  void NoteSent(base::HostId aTo, base::Instant aNow);

  /// Precondition: Hear accepted the sender.
  void OnHeartbeat(base::HostId aFrom, const Heartbeat& aHeartbeat);

  /// Sends heartbeats that are due and drops silent peers.
  void Tick(const KnownVersions& aVersions, base::Instant aNow);

  /// Sets this host's phase and tells it to every peer at once.
  void SetPhase(HostPhase aPhase,
                const KnownVersions& aVersions,
                base::Instant aNow);
  HostPhase Phase() const { return m_phase; }

  /// Treats every peer as unheard, after a pause of this process.
  void ForgetAll(base::Instant aNow);

  /// Whether every live ready peer hears this host.
  bool IsHeardByAll() const;

  /// Whether the peers had time to answer since they became known.
  bool HasListened(base::Instant aNow) const;

  /// Whether a live peer is ready.
  bool HasReadyPeer() const;

  /// Address of `aHost`, or null when the list lacks it.
  const PeerAddress* Find(base::HostId aHost) const;

  /// Live peer with the highest bundle version above `aVersion`; zero if none.
  base::HostId PeerWithBundleAbove(std::uint64_t aVersion) const;

private:
  struct Peer
  {
    PeerAddress m_address;
    std::uint64_t m_incarnation = 0;
    HostPhase m_phase = HostPhase::Joining;
    std::uint64_t m_rejoins = 0;
    bool m_live = false;
    bool m_listed = true;
    bool m_hearsMe = false;
    std::uint64_t m_bundleVersion = 0;
    base::Instant m_heardAt;
    base::Instant m_sentAt;
    Heartbeat m_told;
  };

  void Refresh();
  void DropSilent(base::Instant aNow);
  void SendHeartbeats(const KnownVersions& aVersions, base::Instant aNow);
  std::vector<base::HostId> Candidates() const;

  base::HostId m_self;
  std::uint64_t m_incarnation;
  Outbox& m_outbox;
  HostPhase m_phase = HostPhase::Joining;
  std::uint64_t m_rejoins = 0;
  std::map<base::HostId, Peer> m_peers;
  std::vector<base::HostId> m_live;
  std::vector<base::HostId> m_candidates;
  std::vector<base::HostId> m_previousCandidates;
  /// When the candidates changed; stamped by the next Tick.
  base::Instant m_candidatesSince;
  bool m_candidatesChanged = false;
  std::uint64_t m_generation = 1;
  bool m_hasList = false;
  base::Instant m_listenSince;
  base::Instant m_lastDeparture;
};

} // namespace wasabiloom::peer
