#include "wasabiloom/daemon/UdpSocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace wasabiloom::daemon {

namespace {

constexpr int kKernelBufferBytes = 8 * 1024 * 1024;

sockaddr_in
ToSockaddr(const base::Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aEndpoint.m_address.m_bits);
  address.sin_port = htons(aEndpoint.m_port);
  return address;
}

base::Endpoint
FromSockaddr(const sockaddr_in& aAddress)
{
  return { { ntohl(aAddress.sin_addr.s_addr) }, ntohs(aAddress.sin_port) };
}

} // namespace

/// Buffers of the system calls, allocated once.
struct UdpSocket::Buffers
{
  std::array<std::array<std::byte, kDatagramBytes>, kBatchSize> m_in;
  std::array<sockaddr_in, kBatchSize> m_from;
  std::array<iovec, kBatchSize> m_inVectors;
  std::array<mmsghdr, kBatchSize> m_inHeaders;
  std::array<Received, kBatchSize> m_received;
  std::array<sockaddr_in, kBatchSize> m_to;
  std::array<iovec, kBatchSize> m_outVectors;
  std::array<mmsghdr, kBatchSize> m_outHeaders;
  std::size_t m_queued = 0;

  Buffers()
  {
    std::memset(m_inHeaders.data(), 0, sizeof(m_inHeaders));
    std::memset(m_outHeaders.data(), 0, sizeof(m_outHeaders));
    for (std::size_t i = 0; i < kBatchSize; ++i) {
      m_inVectors[i] = { m_in[i].data(), kDatagramBytes };
      m_inHeaders[i].msg_hdr.msg_iov = &m_inVectors[i];
      m_inHeaders[i].msg_hdr.msg_iovlen = 1;
      m_inHeaders[i].msg_hdr.msg_name = &m_from[i];
      m_outHeaders[i].msg_hdr.msg_iov = &m_outVectors[i];
      m_outHeaders[i].msg_hdr.msg_iovlen = 1;
      m_outHeaders[i].msg_hdr.msg_name = &m_to[i];
      m_outHeaders[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
  }
};

UdpSocket::UdpSocket(int aDescriptor)
  : m_descriptor(aDescriptor)
  , m_buffers(std::make_unique<Buffers>())
{
}

UdpSocket::~UdpSocket()
{
  close(m_descriptor);
}

base::Result<std::unique_ptr<UdpSocket>>
UdpSocket::Bind(const base::Endpoint& aLocal)
{
  const int descriptor =
    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSockaddr(aLocal);
  if (descriptor < 0 || bind(descriptor,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) != 0) {
    const std::string reason = std::strerror(errno);
    if (descriptor >= 0) {
      close(descriptor);
    }
    return base::Fail(base::ResultCode::SocketFailed,
                      "UDP " + ToString(aLocal) + ": " + reason);
  }
  for (const int option : { SO_RCVBUF, SO_SNDBUF }) {
    setsockopt(descriptor,
               SOL_SOCKET,
               option,
               &kKernelBufferBytes,
               sizeof(kKernelBufferBytes));
  }
  return std::unique_ptr<UdpSocket>(new UdpSocket(descriptor));
}

std::span<const Received>
UdpSocket::Receive()
{
  Buffers& buffers = *m_buffers;
  for (mmsghdr& header : buffers.m_inHeaders) {
    header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
  const int count = recvmmsg(m_descriptor,
                             buffers.m_inHeaders.data(),
                             kBatchSize,
                             MSG_DONTWAIT,
                             nullptr);
  const std::size_t received = count < 0 ? 0 : static_cast<std::size_t>(count);
  for (std::size_t i = 0; i < received; ++i) {
    const mmsghdr& header = buffers.m_inHeaders[i];
    buffers.m_received[i] = {
      std::span(buffers.m_in[i]).first(header.msg_len),
      FromSockaddr(buffers.m_from[i]),
      (header.msg_hdr.msg_flags & MSG_TRUNC) != 0,
    };
  }
  return std::span(buffers.m_received).first(received);
}

void
UdpSocket::Queue(std::span<const std::byte> aBytes, const base::Endpoint& aTo)
{
  Buffers& buffers = *m_buffers;
  const std::size_t i = buffers.m_queued;
  buffers.m_to[i] = ToSockaddr(aTo);
  buffers.m_outVectors[i] = { const_cast<std::byte*>(aBytes.data()),
                              aBytes.size() };
  ++buffers.m_queued;
  if (buffers.m_queued == kBatchSize) {
    Flush();
  }
}

void
UdpSocket::Flush()
{
  Buffers& buffers = *m_buffers;
  std::size_t sent = 0;
  while (sent < buffers.m_queued) {
    const int count = sendmmsg(m_descriptor,
                               buffers.m_outHeaders.data() + sent,
                               static_cast<unsigned>(buffers.m_queued - sent),
                               MSG_DONTWAIT);
    // A datagram that cannot be sent (no listener, full queue) is skipped.
    sent += count > 0 ? static_cast<std::size_t>(count) : 1;
  }
  buffers.m_queued = 0;
}

void
UdpSocket::Send(std::string_view aBytes, const base::Endpoint& aTo)
{
  const sockaddr_in address = ToSockaddr(aTo);
  sendto(m_descriptor,
         aBytes.data(),
         aBytes.size(),
         MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&address),
         sizeof(address));
}

} // namespace wasabiloom::daemon
