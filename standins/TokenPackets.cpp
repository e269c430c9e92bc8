#include "TokenPackets.h"

#include "Support.h"

#include "platform/DatagramCodec.h"

#include <algorithm>
#include <cstring>

namespace standins {

namespace {

using wasabiloom::platform::DatagramCodec;
using wasabiloom::platform::kHeadBytes;

constexpr std::size_t kFlagsOffset = 12;

/// The stand-ins run on little-endian machines, as the packets are.
template<typename T>
void
Put(std::vector<std::byte>& aBytes, std::size_t aAt, T aValue)
{
  std::memcpy(aBytes.data() + aAt, &aValue, sizeof(aValue));
}

} // namespace

std::vector<std::byte>
WritePacket(const TokenMessage& aMessage)
{
  std::vector<std::byte> bytes(kHeadBytes);
  Put(bytes, 0, aMessage.m_token);
  Put(bytes, 4, aMessage.m_sequence);
  Put(bytes, 8, aMessage.m_acknowledged);
  Put(bytes, kFlagsOffset, aMessage.m_flags);
  Put(bytes, 16, static_cast<std::uint16_t>(aMessage.m_data.size()));
  Put(bytes, 22, aMessage.m_to.m_port);
  Put(bytes, 24, aMessage.m_to.m_address.m_bits);
  Put(bytes, 28, aMessage.m_from.m_address.m_bits);
  Put(bytes, 32, aMessage.m_from.m_port);
  std::ranges::copy(AsBytes(aMessage.m_data), std::back_inserter(bytes));
  return bytes;
}

TokenMessage
ReadPacket(std::span<const std::byte> aBytes)
{
  const auto parsed = DatagramCodec().Parse(aBytes).m_packet;
  TokenMessage message;
  message.m_from = parsed.m_flow.m_caller;
  message.m_to = parsed.m_flow.m_service.m_endpoint;
  message.m_token = parsed.m_token;
  message.m_sequence = parsed.m_sequence;
  message.m_acknowledged = parsed.m_acknowledged;
  message.m_flags = std::to_integer<std::uint8_t>(aBytes[kFlagsOffset]);
  message.m_data = AsText(aBytes.subspan(kHeadBytes));
  return message;
}

} // namespace standins
