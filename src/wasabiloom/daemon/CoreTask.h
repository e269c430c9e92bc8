/// Task that owns the core and all datagram sockets of an entry host.
#pragma once

#include "wasabiloom/core/HostCore.h"
#include "wasabiloom/daemon/LargeMessageSender.h"
#include "wasabiloom/daemon/PacketPath.h"
#include "wasabiloom/daemon/ProbeTask.h"
#include "wasabiloom/daemon/UdpSocket.h"
#include "wasabiloom/settings/HostSettings.h"

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wasabiloom::daemon {

/// Drives the core from sockets and timers on the Qt event loop of the thread
/// it lives in. Other tasks reach it only through Post.
class CoreTask final
  : public QObject
  , private core::Effects
{
public:
  /// `aSender` must outlive the task.
  CoreTask(const settings::HostSettings& aSettings,
           LargeMessageSender& aSender);
  ~CoreTask() override;

  /// Binds the sockets and starts the timers. Errors: SocketFailed.
  base::Result<void> Start();

  /// Runs `aWork` on the task's thread with the core and the time. Thread
  /// safe.
  void Post(std::function<void(core::HostCore&, base::Instant)> aWork);

  /// Applies a bundle from the config service. Thread safe.
  void PostBundle(std::string aSigned);

  /// Applies a host list. Thread safe.
  void PostHostList(core::HostList aList);

  /// Passes on a peer message that was received through gRPC. Thread safe.
  void PostPeerFrame(std::string aBytes);

  /// Starts a graceful stop. `aOnStopped` is called on the task's thread when
  /// it is complete. On the task's thread only.
  void BeginLeave(std::function<void()> aOnStopped);

private:
  struct Port
  {
    std::unique_ptr<UdpSocket> m_socket;
    std::unique_ptr<QSocketNotifier> m_notifier;
  };

  void SendToBackend(const base::Endpoint& aTo,
                     const request::Envelope& aEnvelope) override;
  void SendToCaller(const packet::FlowKey& aFlow,
                    const request::Envelope& aEnvelope) override;
  void LogRequestDecision(const request::RequestDecision& aDecision) override;
  void SendPeer(const base::Endpoint& aTo,
                const peer::Datagram& aDatagram) override;
  void ProbeTarget(const steering::ServiceId& aService,
                   const steering::TargetId& aTarget,
                   const base::Endpoint& aStatus) override;
  void LogFlow(const core::FlowDecision& aDecision) override;
  void LogEvent(const core::HostEvent& aEvent) override;

  base::Result<void> Open(Port& aPort,
                          std::uint16_t aNumber,
                          void (CoreTask::*aOnReadable)());
  void OnFabricReadable();
  void OnRelayReadable();
  void OnPeerReadable();
  void OnBackendReadable();
  void OnTick();
  void NoteRefusal(base::ResultCode aCode, const base::Endpoint& aFrom);
  void OnPeerBytes(std::string_view aBytes, const base::Endpoint& aFrom);
  void ReportRefusals(base::Instant aNow);
  void ContinueLeave(base::Instant aNow);

  settings::HostSettings m_settings;
  LargeMessageSender& m_sender;
  core::HostCore m_core;
  Port m_fabric;
  Port m_relay;
  Port m_peer;
  Port m_requests;
  std::unique_ptr<PacketPath> m_path;
  ProbeTask m_probes;
  QTimer m_timer;
  std::map<base::Ipv4Address, base::HostId> m_hostsByAddress;
  std::map<base::ResultCode, std::pair<std::uint64_t, base::Endpoint>>
    m_refusals;
  base::Instant m_reportedAt;
  base::Instant m_lastPacketAt;
  base::Instant m_leaveSince;
  std::function<void()> m_onStopped;
};

} // namespace wasabiloom::daemon
