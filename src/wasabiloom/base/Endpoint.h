/// IPv4 addresses and endpoints as value types.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabiloom::base {

/// IPv4 address in host byte order.
struct Ipv4Address
{
  std::uint32_t m_bits = 0;

  friend auto operator<=>(const Ipv4Address&, const Ipv4Address&) = default;
};

/// IPv4 address and port, both in host byte order.
struct Endpoint
{
  Ipv4Address m_address;
  std::uint16_t m_port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Reads dotted decimal; empty when `aText` is anything else. Thread safe.
std::optional<Ipv4Address>
ParseIpv4(std::string_view aText);

/// Reads "A.B.C.D:PORT" with a port of 1 to 65535. Thread safe.
std::optional<Endpoint>
ParseEndpoint(std::string_view aText);

/// Dotted decimal. Thread safe.
std::string
ToString(const Ipv4Address& aAddress);

/// "A.B.C.D:PORT". Thread safe.
std::string
ToString(const Endpoint& aEndpoint);

/// One word that identifies the endpoint. Thread safe.
constexpr std::uint64_t
Pack(const Endpoint& aEndpoint)
{
  return (std::uint64_t{ aEndpoint.m_address.m_bits } << 16) | aEndpoint.m_port;
}

/// Inverse of Pack. Thread safe.
constexpr Endpoint
UnpackEndpoint(std::uint64_t aWord)
{
  return Endpoint{ Ipv4Address{ static_cast<std::uint32_t>(aWord >> 16) },
                   static_cast<std::uint16_t>(aWord & 0xffff) };
}

} // namespace wasabiloom::base
