#include "wasabiloom/packet/IpPacket.h"

#include "wasabiloom/base/Hash.h"

namespace wasabiloom::packet {

namespace {

using base::ResultCode;

constexpr std::size_t kMinIpHeader = 20;
constexpr std::size_t kTcpHeader = 20;
constexpr std::size_t kUdpHeader = 8;
constexpr std::size_t kTcpFlagsOffset = 13;
constexpr std::uint8_t kTcpFin = 0x01;
constexpr std::uint8_t kTcpSyn = 0x02;
constexpr std::uint8_t kTcpRst = 0x04;
constexpr std::uint8_t kTcpAck = 0x10;
constexpr std::uint16_t kFragmentMask = 0x3fff;

std::uint8_t
Read8(std::span<const std::byte> aBytes, std::size_t aOffset)
{
  return std::to_integer<std::uint8_t>(aBytes[aOffset]);
}

std::uint16_t
Read16(std::span<const std::byte> aBytes, std::size_t aOffset)
{
  return static_cast<std::uint16_t>((Read8(aBytes, aOffset) << 8) |
                                    Read8(aBytes, aOffset + 1));
}

std::uint32_t
Read32(std::span<const std::byte> aBytes, std::size_t aOffset)
{
  return (std::uint32_t{ Read16(aBytes, aOffset) } << 16) |
         Read16(aBytes, aOffset + 2);
}

ResultCode
ParseTcp(std::span<const std::byte> aSegment, PacketView& aView)
{
  if (aSegment.size() < kTcpHeader) {
    return ResultCode::PacketTruncated;
  }
  const std::size_t header = (Read8(aSegment, 12) >> 4) * std::size_t{ 4 };
  if (header < kTcpHeader) {
    return ResultCode::PacketBadHeader;
  }
  if (header > aSegment.size()) {
    return ResultCode::PacketTruncated;
  }
  const std::uint8_t flags = Read8(aSegment, kTcpFlagsOffset);
  aView.m_opens = (flags & kTcpSyn) != 0 && (flags & kTcpAck) == 0;
  aView.m_closes = (flags & (kTcpFin | kTcpRst)) != 0;
  aView.m_payload = aSegment.subspan(header);
  return ResultCode::Ok;
}

ResultCode
ParseUdp(std::span<const std::byte> aSegment, PacketView& aView)
{
  if (aSegment.size() < kUdpHeader) {
    return ResultCode::PacketTruncated;
  }
  const std::size_t length = Read16(aSegment, 4);
  if (length < kUdpHeader) {
    return ResultCode::PacketBadHeader;
  }
  if (length > aSegment.size()) {
    return ResultCode::PacketTruncated;
  }
  aView.m_payload = aSegment.subspan(kUdpHeader, length - kUdpHeader);
  return ResultCode::Ok;
}

/// Checks the IPv4 header and yields the transport segment.
ResultCode
ParseIpHeader(std::span<const std::byte> aBytes,
              std::span<const std::byte>& aSegment)
{
  if (aBytes.size() < kMinIpHeader) {
    return ResultCode::PacketTruncated;
  }
  const std::uint8_t lead = Read8(aBytes, 0);
  if ((lead >> 4) != 4) {
    return ResultCode::PacketNotIpv4;
  }
  const std::size_t header = (lead & 0x0f) * std::size_t{ 4 };
  const std::size_t total = Read16(aBytes, 2);
  if (header < kMinIpHeader || total < header) {
    return ResultCode::PacketBadHeader;
  }
  if (total > aBytes.size()) {
    return ResultCode::PacketTruncated;
  }
  if ((Read16(aBytes, 6) & kFragmentMask) != 0) {
    return ResultCode::PacketFragment;
  }
  aSegment = aBytes.subspan(header, total - header);
  return ResultCode::Ok;
}

ResultCode
ParseTransport(std::uint8_t aProtocol,
               std::span<const std::byte> aSegment,
               PacketView& aView)
{
  if (aProtocol == static_cast<std::uint8_t>(Protocol::Tcp)) {
    aView.m_flow.m_service.m_protocol = Protocol::Tcp;
    return ParseTcp(aSegment, aView);
  }
  if (aProtocol == static_cast<std::uint8_t>(Protocol::Udp)) {
    aView.m_flow.m_service.m_protocol = Protocol::Udp;
    return ParseUdp(aSegment, aView);
  }
  return ResultCode::PacketUnsupportedProtocol;
}

} // namespace

ParsedPacket
ParsePacket(std::span<const std::byte> aBytes)
{
  ParsedPacket parsed;
  std::span<const std::byte> segment;
  parsed.m_code = ParseIpHeader(aBytes, segment);
  if (parsed.m_code != ResultCode::Ok) {
    return parsed;
  }
  PacketView& view = parsed.m_view;
  parsed.m_code = ParseTransport(Read8(aBytes, 9), segment, view);
  if (parsed.m_code != ResultCode::Ok) {
    return parsed;
  }
  view.m_flow.m_caller = { { Read32(aBytes, 12) }, Read16(segment, 0) };
  view.m_flow.m_service.m_endpoint = { { Read32(aBytes, 16) },
                                       Read16(segment, 2) };
  return parsed;
}

std::uint64_t
HashFlow(const FlowKey& aFlow)
{
  const auto service = (base::Pack(aFlow.m_service.m_endpoint) << 8) |
                       static_cast<std::uint64_t>(aFlow.m_service.m_protocol);
  return base::Combine(base::Pack(aFlow.m_caller), service);
}

} // namespace wasabiloom::packet
