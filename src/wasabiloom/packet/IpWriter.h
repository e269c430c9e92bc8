/// Builds IPv4 packets: answers to callers, and traffic for tests.
#pragma once

#include "wasabiloom/packet/IpPacket.h"

#include <cstddef>
#include <span>
#include <vector>

namespace wasabiloom::packet {

/// Role of a TCP segment within its flow.
enum class TcpKind : std::uint8_t
{
  Open,
  Data,
  Close,
  Reset,
};

/// UDP in IPv4 with valid checksums. Precondition: the payload fits into
/// 65,507 bytes. Thread safe.
std::vector<std::byte>
WriteUdp(const base::Endpoint& aFrom,
         const base::Endpoint& aTo,
         std::span<const std::byte> aPayload);

/// TCP in IPv4 with a valid IPv4 checksum and no options. Precondition: the
/// payload fits into 65,495 bytes. Thread safe.
std::vector<std::byte>
WriteTcp(const base::Endpoint& aFrom,
         const base::Endpoint& aTo,
         TcpKind aKind,
         std::span<const std::byte> aPayload);

} // namespace wasabiloom::packet
