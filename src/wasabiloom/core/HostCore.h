/// The entry host without sockets, threads or clocks.
#pragma once

#include "wasabiloom/core/Counters.h"
#include "wasabiloom/core/Effects.h"
#include "wasabiloom/core/Inputs.h"
#include "wasabiloom/core/PacketRouter.h"
#include "wasabiloom/core/ServiceCatalog.h"
#include "wasabiloom/core/Status.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace wasabiloom::core {

/// A process that did not run for this long treats its knowledge as old.
constexpr base::Duration kPauseLimit = std::chrono::milliseconds(1000);

/// Longest interval at which the driver must call OnTick.
constexpr base::Duration kTickInterval = std::chrono::milliseconds(20);

/// Decides everything an entry host does. The driver feeds inputs with the
/// time of its monotonic clock and carries out decisions and effects. Equal
/// inputs give equal outputs. One thread at a time.
class HostCore final : private peer::Outbox
{
public:
  /// `aEffects` must outlive the core.
  HostCore(HostIdentity aIdentity, Effects& aEffects);
  ~HostCore() override;

  HostCore(const HostCore&) = delete;
  HostCore& operator=(const HostCore&) = delete;

  /// An IPv4 packet from the fabric. Allocates nothing for a flow it knows.
  PacketDecision OnPacket(std::span<const std::byte> aPacket,
                          base::Instant aNow);

  /// An IPv4 packet that the peer `aFrom` relayed.
  PacketDecision OnRelayedPacket(std::span<const std::byte> aPacket,
                                 base::HostId aFrom,
                                 base::Instant aNow);

  /// Loads what OnPacket will need for `aPacket` into the processor's cache.
  void Prefetch(std::span<const std::byte> aPacket);

  /// A signed bundle from the config service or a peer. Errors: the codes of
  /// OpenBundle, BundleVersionNotNewer; on error nothing changes.
  base::Result<void> OnBundle(std::string_view aSigned, base::Instant aNow);

  /// A revision of the host list; older revisions are ignored.
  void OnHostList(const HostList& aList, base::Instant aNow);

  /// A message from a peer.
  void OnPeer(const peer::Datagram& aDatagram, base::Instant aNow);

  /// A datagram from a backend server of a service in request mode.
  void OnBackend(const request::Envelope& aEnvelope, base::Instant aNow);

  /// A backend server's status endpoint has answered.
  void OnReport(const steering::ServiceId& aService,
                const health::TargetReport& aReport,
                base::Instant aNow);

  /// Time passed. To be called at least every kTickInterval.
  void OnTick(base::Instant aNow);

  /// Starts a graceful stop: no new ownership, no new requests.
  void BeginLeave(base::Instant aNow);

  /// Whether a graceful stop has nothing left to finish.
  bool IsDrained() const;

  /// Tells the peers that this host is gone.
  void FinishLeave(base::Instant aNow);

  bool IsReady() const;
  const Counters& GetCounters() const { return m_counters; }
  HostStatus Status() const;

  /// Bytes of memory that remembered and pinned flows occupy.
  std::size_t FlowMemoryBytes() const;

  /// Errors: ValueNotFound when no service has the flow's address.
  base::Result<Explanation> Explain(const packet::FlowKey& aFlow) const;

private:
  void Send(base::HostId aTo, const peer::Message& aMessage) override;
  peer::SendBudget& Budget() override { return m_budget; }

  void RequestNewerBundle(base::Instant aNow);
  void UpdatePhase(base::Instant aNow);
  void SetPhase(peer::HostPhase aPhase, base::Instant aNow);
  void NoticePause(base::Instant aNow);
  void OnWake(base::Instant aNow);
  peer::KnownVersions Versions() const;

  template<typename T>
  void Dispatch(base::HostId aFrom, const T& aMessage, base::Instant aNow);
  void Dispatch(base::HostId aFrom,
                const peer::Heartbeat& aMessage,
                base::Instant aNow);
  void Dispatch(base::HostId aFrom,
                const peer::LoadReports& aMessage,
                base::Instant aNow);
  void Dispatch(base::HostId aFrom,
                const peer::BundleRequest& aMessage,
                base::Instant aNow);
  void Dispatch(base::HostId aFrom,
                const peer::BundleReply& aMessage,
                base::Instant aNow);
  void AnswerForUnknownShard(base::HostId aFrom, const peer::Message& aMessage);

  HostIdentity m_identity;
  Effects& m_effects;
  peer::SendBudget m_budget;
  peer::Membership m_membership;
  Counters m_counters;
  ServiceCatalog m_catalog;
  PacketRouter m_router;
  std::uint64_t m_listRevision = 0;
  bool m_mustRevalidate = false;
  base::Instant m_tickedAt;
  base::Instant m_bundleAskedAt;
  base::Instant m_behindSince;
};

} // namespace wasabiloom::core
