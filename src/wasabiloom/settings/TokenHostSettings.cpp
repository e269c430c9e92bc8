#include "wasabiloom/settings/TokenHostSettings.h"

#include "wasabiloom/jsonc/ObjectReader.h"
#include "wasabiloom/jsonc/Parser.h"
#include "wasabiloom/settings/LogLevels.h"

#include <algorithm>

namespace wasabiloom::settings {

namespace {

using base::Result;
using base::ResultCode;
using jsonc::Node;
using jsonc::ObjectReader;

constexpr std::int64_t kMaxPort = 65535;
constexpr double kMaxMilliseconds = 3'600'000;
constexpr double kDefaultZoneOutMs = 5000;
constexpr double kDefaultInTouchMs = 4000;
constexpr double kDefaultStopGraceMs = 6000;
constexpr double kDefaultConfigMs = 3000;
constexpr double kDefaultDrainMs = 3000;
constexpr double kMaxLinkMbps = 1'000'000;
constexpr double kDefaultLinkMbps = 1000;
constexpr double kMaxCores = 1024;
constexpr std::int64_t kMaxLogKilobytes = 1'000'000;
constexpr std::int64_t kDefaultLogKilobytes = 64;
constexpr std::int64_t kBytesAKilobyte = 1000;
constexpr double kMaxLoadReportMs = 60'000;

base::Duration
Milliseconds(double aCount)
{
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double, std::milli>(aCount));
}

Result<std::vector<base::Endpoint>>
ReadPeers(ObjectReader& aReader)
{
  BOOST_LEAF_AUTO(elements, aReader.Array("peers"));
  std::vector<base::Endpoint> peers;
  for (const Node& element : *elements) {
    const auto* text = std::get_if<std::string>(&element.m_content);
    const auto peer =
      text == nullptr ? std::nullopt : base::ParseEndpoint(*text);
    if (!peer) {
      return jsonc::FailAt(element,
                           ResultCode::JsonWrongType,
                           "expected \"A.B.C.D:PORT\", found " +
                             KindOf(element));
    }
    peers.push_back(*peer);
  }
  return peers;
}

Result<void>
ReadNumbers(ObjectReader& aReader, TokenHostSettings& aSettings)
{
  BOOST_LEAF_AUTO(
    zoneOut,
    aReader.NumberOr("zone_out_ms", 0, kMaxMilliseconds, kDefaultZoneOutMs));
  BOOST_LEAF_AUTO(
    inTouch,
    aReader.NumberOr("in_touch_ms", 0, kMaxMilliseconds, kDefaultInTouchMs));
  BOOST_LEAF_AUTO(grace,
                  aReader.NumberOr(
                    "stop_grace_ms", 0, kMaxMilliseconds, kDefaultStopGraceMs));
  BOOST_LEAF_AUTO(
    config,
    aReader.NumberOr("config_ms", 0, kMaxMilliseconds, kDefaultConfigMs));
  BOOST_LEAF_AUTO(
    drain, aReader.NumberOr("drain_ms", 0, kMaxMilliseconds, kDefaultDrainMs));
  BOOST_LEAF_ASSIGN(
    aSettings.m_linkMbps,
    aReader.NumberOr("link_mbps", 0, kMaxLinkMbps, kDefaultLinkMbps));
  BOOST_LEAF_ASSIGN(aSettings.m_cores,
                    aReader.NumberOr("cores", 0, kMaxCores, 1));
  aSettings.m_updateDeadline =
    Milliseconds(std::min({ config, drain, zoneOut }));
  aSettings.m_zoneOut = Milliseconds(zoneOut);
  aSettings.m_inTouch = Milliseconds(inTouch);
  aSettings.m_stopGrace = Milliseconds(grace);
  return {};
}

Result<void>
ReadLoadFeatures(ObjectReader& aReader, TokenHostSettings& aSettings)
{
  BOOST_LEAF_AUTO(interval,
                  aReader.NumberOr("load_report_ms", 0, kMaxLoadReportMs, 0));
  aSettings.m_loadReportInterval = Milliseconds(interval);
  BOOST_LEAF_ASSIGN(aSettings.m_zoneBalance,
                    aReader.FlagOr("zone_balance", false));
  BOOST_LEAF_ASSIGN(aSettings.m_admission, aReader.FlagOr("admission", false));
  BOOST_LEAF_ASSIGN(aSettings.m_slowStart, aReader.FlagOr("slow_start", false));
  return {};
}

Result<void>
CheckPorts(const Node& aRoot, const TokenHostSettings& aSettings)
{
  const base::Endpoint peer{ aSettings.m_address, aSettings.m_peerPort };
  const base::Endpoint metrics{ aSettings.m_address, aSettings.m_metricsPort };
  if (aSettings.m_readiness == peer || aSettings.m_readiness == metrics ||
      peer == metrics) {
    return jsonc::FailAt(aRoot,
                         ResultCode::JsonClash,
                         "readiness, peer_port and metrics_port clash, "
                         "expected different ports");
  }
  return {};
}

} // namespace

Result<TokenHostSettings>
ReadTokenHostSettings(std::string_view aText)
{
  BOOST_LEAF_AUTO(root, jsonc::Parse(aText));
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(root));
  TokenHostSettings settings;
  BOOST_LEAF_ASSIGN(settings.m_name, reader.Text("name"));
  BOOST_LEAF_ASSIGN(settings.m_zone, reader.Text("zone"));
  BOOST_LEAF_ASSIGN(settings.m_address, reader.AddressAt("address"));
  BOOST_LEAF_ASSIGN(settings.m_packets, reader.EndpointAt("packets"));
  BOOST_LEAF_ASSIGN(settings.m_readiness, reader.EndpointAt("readiness"));
  BOOST_LEAF_ASSIGN(settings.m_registry, reader.EndpointAt("registry"));
  BOOST_LEAF_ASSIGN(settings.m_peers, ReadPeers(reader));
  BOOST_LEAF_AUTO(peerPort, reader.Integer("peer_port", 1, kMaxPort));
  BOOST_LEAF_AUTO(metricsPort,
                  reader.IntegerOr("metrics_port", 0, kMaxPort, 0));
  settings.m_peerPort = static_cast<std::uint16_t>(peerPort);
  settings.m_metricsPort = static_cast<std::uint16_t>(metricsPort);
  BOOST_LEAF_CHECK(ReadNumbers(reader, settings));
  BOOST_LEAF_CHECK(ReadLoadFeatures(reader, settings));
  BOOST_LEAF_AUTO(level, reader.ChoiceOrFirst("log_level", kLogLevels));
  settings.m_logLevel = kLogLevels.at(level);
  BOOST_LEAF_AUTO(logKilobytes,
                  reader.IntegerOr(
                    "log_kb_per_s", 0, kMaxLogKilobytes, kDefaultLogKilobytes));
  settings.m_logBytesPerSecond = logKilobytes * kBytesAKilobyte;
  BOOST_LEAF_CHECK(reader.Finish());
  BOOST_LEAF_CHECK(CheckPorts(root, settings));
  return settings;
}

} // namespace wasabiloom::settings
