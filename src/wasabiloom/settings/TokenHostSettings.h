/// Settings of an entry host under the token policy.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Result.h"
#include "wasabiloom/base/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiloom::settings {

/// Everything such a host learns from its settings file.
struct TokenHostSettings
{
  std::string m_name;
  std::string m_zone;
  base::Ipv4Address m_address;
  /// Where callers' packets arrive; callers' machines take packets at the same
  /// port.
  base::Endpoint m_packets;
  /// Where readiness is asked for.
  base::Endpoint m_readiness;
  /// HTTP between hosts; the same port on every host.
  std::uint16_t m_peerPort = 0;
  /// Metrics over HTTP; 0 for none.
  std::uint16_t m_metricsPort = 0;
  /// Hosts to ask first, by any of their endpoints; only the address counts.
  std::vector<base::Endpoint> m_peers;
  base::Endpoint m_registry;
  /// A zone that is taken out gets no more packets after this.
  base::Duration m_zoneOut{ 0 };
  /// Time within which a host that lost its connection must be up to date
  /// again.
  base::Duration m_inTouch{ 0 };
  /// Whatever the registry publishes must be in force within this.
  base::Duration m_updateDeadline{ 0 };
  /// A process that is told to stop is killed after this.
  base::Duration m_stopGrace{ 0 };
  /// Bandwidth of the host's link, and the share of a core that it may use.
  double m_linkMbps = 0;
  double m_cores = 0;
  /// Interval between reports on the load of backend servers that the host
  /// sends to others; zero for none.
  base::Duration m_loadReportInterval{ 0 };
  /// Whether new flows may go to other zones when the host's own zone is full.
  bool m_zoneBalance = false;
  /// Whether less urgent new flows are refused when all zones are full.
  bool m_admission = false;
  /// Whether backend servers that start, return or recover get a growing share
  /// of new flows.
  bool m_slowStart = false;
  std::string m_logLevel;
  /// Bytes of log that the host writes in the long run; 0 for no limit.
  std::int64_t m_logBytesPerSecond = 0;

  friend auto operator<=>(const TokenHostSettings&,
                          const TokenHostSettings&) = default;
};

/// Parses and checks settings. Errors: the Json codes with key and line.
/// Thread safe.
base::Result<TokenHostSettings>
ReadTokenHostSettings(std::string_view aText);

} // namespace wasabiloom::settings
