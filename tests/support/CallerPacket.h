/// Packets of callers in the platform's format, for tests.
#pragma once

#include "platform/DatagramCodec.h"

#include <cstring>
#include <vector>

namespace wasabiloom::tests {

constexpr std::uint8_t kFin = 2;
constexpr std::uint8_t kSyn = 8;
constexpr std::uint8_t kAck = 32;

/// Fields of a packet from a caller.
struct Sent
{
  std::uint8_t m_flags = kSyn;
  std::uint32_t m_token = 0;
  std::uint32_t m_sequence = 1;
  std::uint32_t m_acknowledged = 0;
  std::uint16_t m_length = 0;
  std::uint16_t m_callerPort = 40001;
  std::uint16_t m_port = 443;
};

/// Encodes `aSent` as a packet of the caller 100.64.0.7 to 198.18.0.1.
inline std::vector<std::byte>
Write(const Sent& aSent)
{
  std::vector<std::byte> bytes(platform::kHeadBytes + aSent.m_length);
  const auto put = [&](std::size_t aAt, const auto& aValue) {
    std::memcpy(bytes.data() + aAt, &aValue, sizeof(aValue));
  };
  put(0, aSent.m_token);
  put(4, aSent.m_sequence);
  put(8, aSent.m_acknowledged);
  put(12, aSent.m_flags);
  put(16, aSent.m_length);
  put(22, aSent.m_port);
  put(24, std::uint32_t{ 0xc6120001 });
  put(28, std::uint32_t{ 0x64400007 });
  put(32, aSent.m_callerPort);
  return bytes;
}

} // namespace wasabiloom::tests
