/// Forwards packets from the fabric through the core to backend servers.
#pragma once

#include "wasabiloom/core/HostCore.h"
#include "wasabiloom/daemon/UdpSocket.h"

#include <cstddef>
#include <functional>

namespace wasabiloom::daemon {

/// Called for each packet that is refused, with the code and the sender.
using RefusalHandler =
  std::function<void(base::ResultCode, const base::Endpoint&)>;

/// Passes batches of packets from the fabric's socket through the core and
/// sends them on the same socket. Not thread safe.
class PacketPath
{
public:
  /// The references must outlive the path.
  PacketPath(UdpSocket& aSocket,
             core::HostCore& aCore,
             RefusalHandler aOnRefusal);

  /// Receives one batch, decides on each packet and sends it on. Returns the
  /// number of packets received.
  std::size_t CarryBatch(base::Instant aNow);

  /// Executes the core's decision on one packet. The caller flushes.
  void Carry(const Received& aDatagram, const core::PacketDecision& aDecision);

  /// Sends the packets that Carry has queued.
  void Flush() { m_socket.Flush(); }

private:
  UdpSocket& m_socket;
  core::HostCore& m_core;
  RefusalHandler m_onRefusal;
};

} // namespace wasabiloom::daemon
