#include "wasabiloom/packet/IpWriter.h"

#include <algorithm>

namespace wasabiloom::packet {

namespace {

constexpr std::size_t kIpHeader = 20;
constexpr std::size_t kUdpHeader = 8;
constexpr std::size_t kTcpHeader = 20;
constexpr std::uint8_t kTimeToLive = 64;
constexpr std::uint8_t kTcpOffsetWords = 0x50;

using Bytes = std::vector<std::byte>;

void
Put8(Bytes& aBytes, std::size_t aOffset, std::uint8_t aValue)
{
  aBytes[aOffset] = std::byte{ aValue };
}

void
Put16(Bytes& aBytes, std::size_t aOffset, std::uint16_t aValue)
{
  Put8(aBytes, aOffset, static_cast<std::uint8_t>(aValue >> 8));
  Put8(aBytes, aOffset + 1, static_cast<std::uint8_t>(aValue & 0xff));
}

void
Put32(Bytes& aBytes, std::size_t aOffset, std::uint32_t aValue)
{
  Put16(aBytes, aOffset, static_cast<std::uint16_t>(aValue >> 16));
  Put16(aBytes, aOffset + 2, static_cast<std::uint16_t>(aValue & 0xffff));
}

/// One's complement sum over `aBytes`, added to `aSum`.
std::uint32_t
Sum16(std::span<const std::byte> aBytes, std::uint32_t aSum)
{
  for (std::size_t i = 0; i < aBytes.size(); ++i) {
    const auto value = std::to_integer<std::uint32_t>(aBytes[i]);
    aSum += (i % 2 == 0) ? value << 8 : value;
  }
  return aSum;
}

std::uint16_t
Fold(std::uint32_t aSum)
{
  while ((aSum >> 16) != 0) {
    aSum = (aSum & 0xffff) + (aSum >> 16);
  }
  return static_cast<std::uint16_t>(~aSum);
}

Bytes
StartIp(Protocol aProtocol,
        const base::Endpoint& aFrom,
        const base::Endpoint& aTo,
        std::size_t aSegmentSize)
{
  Bytes bytes(kIpHeader + aSegmentSize);
  Put8(bytes, 0, 0x45);
  Put16(bytes, 2, static_cast<std::uint16_t>(bytes.size()));
  Put8(bytes, 8, kTimeToLive);
  Put8(bytes, 9, static_cast<std::uint8_t>(aProtocol));
  Put32(bytes, 12, aFrom.m_address.m_bits);
  Put32(bytes, 16, aTo.m_address.m_bits);
  const auto header = std::span(bytes).first(kIpHeader);
  Put16(bytes, 10, Fold(Sum16(header, 0)));
  Put16(bytes, kIpHeader, aFrom.m_port);
  Put16(bytes, kIpHeader + 2, aTo.m_port);
  return bytes;
}

/// Sum over pseudo header and segment, as RFC 768 and RFC 9293 define it.
std::uint16_t
TransportChecksum(const Bytes& aBytes, Protocol aProtocol)
{
  const auto segment = std::span(aBytes).subspan(kIpHeader);
  std::uint32_t sum = Sum16(std::span(aBytes).subspan(12, 8), 0);
  sum += static_cast<std::uint32_t>(aProtocol);
  sum += static_cast<std::uint32_t>(segment.size());
  return Fold(Sum16(segment, sum));
}

std::uint8_t
FlagsOf(TcpKind aKind)
{
  switch (aKind) {
    case TcpKind::Open:
      return 0x02;
    case TcpKind::Data:
      return 0x18;
    case TcpKind::Close:
      return 0x11;
    case TcpKind::Reset:
      return 0x14;
  }
  return 0;
}

} // namespace

std::vector<std::byte>
WriteUdp(const base::Endpoint& aFrom,
         const base::Endpoint& aTo,
         std::span<const std::byte> aPayload)
{
  const auto length = kUdpHeader + aPayload.size();
  Bytes bytes = StartIp(Protocol::Udp, aFrom, aTo, length);
  Put16(bytes, kIpHeader + 4, static_cast<std::uint16_t>(length));
  std::ranges::copy(aPayload, bytes.begin() + kIpHeader + kUdpHeader);
  const auto checksum = TransportChecksum(bytes, Protocol::Udp);
  Put16(bytes, kIpHeader + 6, checksum == 0 ? 0xffff : checksum);
  return bytes;
}

std::vector<std::byte>
WriteTcp(const base::Endpoint& aFrom,
         const base::Endpoint& aTo,
         TcpKind aKind,
         std::span<const std::byte> aPayload)
{
  Bytes bytes =
    StartIp(Protocol::Tcp, aFrom, aTo, kTcpHeader + aPayload.size());
  Put8(bytes, kIpHeader + 12, kTcpOffsetWords);
  Put8(bytes, kIpHeader + 13, FlagsOf(aKind));
  std::ranges::copy(aPayload, bytes.begin() + kIpHeader + kTcpHeader);
  Put16(bytes, kIpHeader + 16, TransportChecksum(bytes, Protocol::Tcp));
  return bytes;
}

} // namespace wasabiloom::packet
