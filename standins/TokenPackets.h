/// Packets of the users' platform, as callers and backend servers write them.
#pragma once

#include "wasabiloom/packet/TokenCodec.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/// Bits of a packet's flags.
constexpr std::uint8_t kFin = 2;
constexpr std::uint8_t kRst = 4;
constexpr std::uint8_t kSyn = 8;
constexpr std::uint8_t kAck = 32;

/// One packet with its data.
struct TokenMessage
{
  wasabiloom::base::Endpoint m_from;
  wasabiloom::base::Endpoint m_to;
  std::uint32_t m_token = 0;
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledged = 0;
  std::uint8_t m_flags = 0;
  std::string m_data;
};

/// Writes a packet; its sum is left 0.
std::vector<std::byte>
WritePacket(const TokenMessage& aMessage);

/// Reads a packet. Precondition: the platform's codec accepts it.
TokenMessage
ReadPacket(std::span<const std::byte> aBytes);

} // namespace standins
