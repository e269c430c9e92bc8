/// Read-only parsing of the IPv4 packets that the fabric hands over.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/ResultCode.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>

namespace wasabiloom::packet {

/// Transport protocols that are steered.
enum class Protocol : std::uint8_t
{
  Tcp = 6,
  Udp = 17,
};

/// Address of a service: protocol and endpoint that callers send to.
struct ServiceAddress
{
  Protocol m_protocol = Protocol::Tcp;
  base::Endpoint m_endpoint;

  friend auto operator<=>(const ServiceAddress&,
                          const ServiceAddress&) = default;
};

/// The five values that identify one flow.
struct FlowKey
{
  base::Endpoint m_caller;
  ServiceAddress m_service;

  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

/// Parsed packet; `m_payload` points into the caller's buffer.
struct PacketView
{
  FlowKey m_flow;
  bool m_opens = false;
  bool m_closes = false;
  std::span<const std::byte> m_payload;
};

/// Outcome of ParsePacket; `m_view` is meaningful only with Ok.
struct ParsedPacket
{
  base::ResultCode m_code = base::ResultCode::Ok;
  PacketView m_view;
};

/// Parses an IPv4 packet. Never reads outside `aBytes`, allocates nothing.
/// Errors: PacketTruncated, PacketNotIpv4, PacketBadHeader, PacketFragment,
/// PacketUnsupportedProtocol. Thread safe.
ParsedPacket
ParsePacket(std::span<const std::byte> aBytes);

/// Hash of a flow, equal on every host. Thread safe.
std::uint64_t
HashFlow(const FlowKey& aFlow);

} // namespace wasabiloom::packet
