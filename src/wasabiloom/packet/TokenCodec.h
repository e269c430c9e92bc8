/// Packets that carry a token which names their backend server.
#pragma once

#include "wasabiloom/packet/IpPacket.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace wasabiloom::packet {

/// Parsed packet of a caller whose flow carries a token.
struct TokenPacket
{
  FlowKey m_flow;
  /// What the caller last received on this flow; 0 while it opens.
  std::uint32_t m_token = 0;
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledged = 0;
  std::uint16_t m_payloadBytes = 0;
  /// How often the opening packet was sent before.
  std::uint32_t m_copy = 0;
  bool m_opens = false;
  bool m_closes = false;
  bool m_resets = false;

  friend auto operator<=>(const TokenPacket&, const TokenPacket&) = default;
};

/// Outcome of TokenCodec::Parse; `m_packet` is meaningful only with Ok.
struct ParsedTokenPacket
{
  base::ResultCode m_code = base::ResultCode::Ok;
  TokenPacket m_packet;
};

/// Where a packet is to be delivered.
struct Delivery
{
  /// Named in the datagram, so that no other server at a reused address takes
  /// the packet.
  std::uint64_t m_server = 0;
  /// Token that an opening packet is to carry.
  std::uint32_t m_token = 0;

  friend auto operator<=>(const Delivery&, const Delivery&) = default;
};

/// Longest datagram that a codec writes, in bytes.
constexpr std::size_t kMaxTokenDatagram = 1400;

/// One format of packets with a token. Implementations are stateless and
/// thread safe.
class TokenCodec
{
public:
  virtual ~TokenCodec();

  /// Reads a caller's packet. Never reads outside `aBytes`. Errors:
  /// PacketTruncated, PacketOversized, PacketBadHeader.
  virtual ParsedTokenPacket Parse(std::span<const std::byte> aBytes) const = 0;

  /// Writes the datagram that delivers `aBytes`, which Parse accepted, and
  /// returns its length.
  virtual std::size_t WriteDelivery(
    std::span<const std::byte> aBytes,
    const Delivery& aDelivery,
    std::span<std::byte, kMaxTokenDatagram> aOut) const = 0;

  /// Writes a reset that answers `aPacket` and returns its length.
  virtual std::size_t WriteReset(
    const TokenPacket& aPacket,
    std::span<std::byte, kMaxTokenDatagram> aOut) const = 0;
};

} // namespace wasabiloom::packet
