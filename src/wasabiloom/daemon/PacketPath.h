/// The path of a packet through the daemon: fabric, core, backend server.
#pragma once

#include "wasabiloom/core/HostCore.h"
#include "wasabiloom/daemon/UdpSocket.h"

#include <cstddef>
#include <functional>

namespace wasabiloom::daemon {

/// Called for each packet that is refused, with the code and the sender.
using RefusalHandler =
  std::function<void(base::ResultCode, const base::Endpoint&)>;

/// Carries batches of packets from the fabric's socket through the core and
/// out of the same socket. One thread at a time.
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

  /// Carries out the core's verdict on one packet; the caller flushes.
  void Carry(const Received& aDatagram, const core::PacketVerdict& aVerdict);

  /// Sends what Carry queued.
  void Flush() { m_socket.Flush(); }

private:
  UdpSocket& m_socket;
  core::HostCore& m_core;
  RefusalHandler m_onRefusal;
};

} // namespace wasabiloom::daemon
