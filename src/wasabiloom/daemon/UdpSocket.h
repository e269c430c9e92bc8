/// UDP socket with batched receive and send.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Result.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

namespace wasabiloom::daemon {

/// Maximum number of datagrams in a batch.
constexpr std::size_t kBatchSize = 64;

/// Receive buffer of one datagram, in bytes.
constexpr std::size_t kDatagramBytes = 2048;

/// One received datagram. Its bytes are valid until the next Receive.
struct Received
{
  std::span<const std::byte> m_bytes;
  base::Endpoint m_from;
  bool m_truncated = false;
};

/// Non-blocking socket bound to one address. Not thread safe.
class UdpSocket
{
public:
  /// Errors: SocketFailed.
  static base::Result<std::unique_ptr<UdpSocket>> Bind(
    const base::Endpoint& aLocal);

  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// Receives up to kBatchSize datagrams without blocking.
  std::span<const Received> Receive();

  /// Queues `aBytes`, which must stay valid until Flush. Flushes by itself
  /// when a batch is full.
  void Queue(std::span<const std::byte> aBytes, const base::Endpoint& aTo);

  /// Sends the queued datagrams. Those that the kernel has no room for are
  /// lost.
  void Flush();

  /// Sends one datagram at once.
  void Send(std::string_view aBytes, const base::Endpoint& aTo);

  int Descriptor() const { return m_descriptor; }

private:
  struct Buffers;

  explicit UdpSocket(int aDescriptor);

  int m_descriptor;
  std::unique_ptr<Buffers> m_buffers;
};

} // namespace wasabiloom::daemon
