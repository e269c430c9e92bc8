/// Settings of the entry host's daemon.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Result.h"
#include "wasabiloom/bundle/Keys.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiloom::settings {

/// Ports, the same on every entry host of a site.
struct Ports
{
  /// IP-in-UDP packets from the fabric.
  std::uint16_t m_packets = 0;
  /// IP-in-UDP packets relayed by peers.
  std::uint16_t m_relay = 0;
  /// Control datagrams of peers.
  std::uint16_t m_peer = 0;
  /// Answers of backend servers in request mode.
  std::uint16_t m_requests = 0;
  /// gRPC: operators, and control messages too large for a datagram.
  std::uint16_t m_control = 0;
  /// Metrics over HTTP.
  std::uint16_t m_metrics = 0;
  /// Port of the callers' network that takes IP-in-UDP answers.
  std::uint16_t m_return = 0;

  friend auto operator<=>(const Ports&, const Ports&) = default;
};

/// Everything a host learns from its settings file.
struct HostSettings
{
  std::string m_name;
  std::string m_zone;
  base::Ipv4Address m_address;
  Ports m_ports;
  base::Endpoint m_configService;
  base::Endpoint m_hostList;
  std::string m_bundleKey;
  std::vector<bundle::PublicKey> m_trustedKeys;
  std::string m_logLevel;
  std::string m_logFile;

  friend auto operator<=>(const HostSettings&, const HostSettings&) = default;
};

/// Parses and checks settings. Errors: the Json codes with key and line,
/// JsonClash when two ports or addresses are equal, KeyInvalid. Thread safe.
base::Result<HostSettings>
ReadSettings(std::string_view aText);

} // namespace wasabiloom::settings
