#include "wasabiloom/base/Endpoint.h"

#include <charconv>

namespace wasabiloom::base {

namespace {

constexpr int kOctets = 4;
constexpr unsigned kMaxOctet = 255;
constexpr unsigned kMaxPort = 65535;

/// Takes a decimal number of at most `aLimit` off the front of `aText`.
std::optional<unsigned>
TakeNumber(std::string_view& aText, unsigned aLimit)
{
  unsigned value = 0;
  const auto [end, failure] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (failure != std::errc{} || value > aLimit) {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<std::size_t>(end - aText.data()));
  return value;
}

} // namespace

std::optional<Ipv4Address>
ParseIpv4(std::string_view aText)
{
  std::uint32_t bits = 0;
  for (int octet = 0; octet < kOctets; ++octet) {
    if (octet > 0) {
      if (aText.empty() || aText.front() != '.') {
        return std::nullopt;
      }
      aText.remove_prefix(1);
    }
    const auto value = TakeNumber(aText, kMaxOctet);
    if (!value) {
      return std::nullopt;
    }
    bits = (bits << 8) | *value;
  }
  if (!aText.empty()) {
    return std::nullopt;
  }
  return Ipv4Address{ bits };
}

std::optional<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto address = ParseIpv4(aText.substr(0, colon));
  auto rest = aText.substr(colon + 1);
  const auto port = TakeNumber(rest, kMaxPort);
  if (!address || !port || *port == 0 || !rest.empty()) {
    return std::nullopt;
  }
  return Endpoint{ *address, static_cast<std::uint16_t>(*port) };
}

std::string
ToString(const Ipv4Address& aAddress)
{
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((aAddress.m_bits >> shift) & kMaxOctet);
    if (shift > 0) {
      text += '.';
    }
  }
  return text;
}

std::string
ToString(const Endpoint& aEndpoint)
{
  return ToString(aEndpoint.m_address) + ':' + std::to_string(aEndpoint.m_port);
}

} // namespace wasabiloom::base
