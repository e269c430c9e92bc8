#include "wasabiloom/settings/HostSettings.h"

#include "wasabiloom/jsonc/ObjectReader.h"
#include "wasabiloom/jsonc/Parser.h"
#include "wasabiloom/settings/LogLevels.h"

#include <array>
#include <map>
#include <utility>

namespace wasabiloom::settings {

namespace {

using base::Result;
using base::ResultCode;
using jsonc::Node;
using jsonc::ObjectReader;

constexpr std::int64_t kMaxPort = 65535;

struct PortField
{
  std::string_view m_key;
  std::uint16_t Ports::*m_field;
  std::int64_t m_default;
};

constexpr std::array kPortFields = {
  PortField{ "packets", &Ports::m_packets, 6080 },
  PortField{ "relay", &Ports::m_relay, 6081 },
  PortField{ "peer", &Ports::m_peer, 6082 },
  PortField{ "requests", &Ports::m_requests, 6083 },
  PortField{ "control", &Ports::m_control, 6084 },
  PortField{ "metrics", &Ports::m_metrics, 6085 },
};

constexpr std::int64_t kDefaultReturnPort = 6080;

Result<Ports>
ReadPorts(const Node& aNode)
{
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(aNode));
  Ports ports;
  std::map<std::int64_t, std::string_view> taken;
  for (const PortField& field : kPortFields) {
    BOOST_LEAF_AUTO(
      port, reader.IntegerOr(field.m_key, 1, kMaxPort, field.m_default));
    const auto [first, isNew] = taken.try_emplace(port, field.m_key);
    if (!isNew) {
      return jsonc::FailAt(aNode,
                           ResultCode::JsonClash,
                           "\"" + std::string(field.m_key) + "\" and \"" +
                             std::string(first->second) + "\" are both " +
                             std::to_string(port) +
                             ", expected different ports");
    }
    ports.*field.m_field = static_cast<std::uint16_t>(port);
  }
  BOOST_LEAF_AUTO(returnPort,
                  reader.IntegerOr("return", 1, kMaxPort, kDefaultReturnPort));
  ports.m_return = static_cast<std::uint16_t>(returnPort);
  BOOST_LEAF_CHECK(reader.Finish());
  return ports;
}

Result<std::vector<bundle::PublicKey>>
ReadKeys(ObjectReader& aReader)
{
  BOOST_LEAF_AUTO(elements, aReader.Array("trusted_keys"));
  std::vector<bundle::PublicKey> keys;
  for (const Node& element : *elements) {
    const auto* text = std::get_if<std::string>(&element.m_content);
    if (text == nullptr) {
      return jsonc::FailAt(element,
                           ResultCode::JsonWrongType,
                           "expected string, found " + KindOf(element));
    }
    auto key = bundle::ReadPublicKey(*text);
    if (!key) {
      return jsonc::FailAt(element,
                           ResultCode::KeyInvalid,
                           "expected 32 bytes in base64, as `keys new` "
                           "prints them");
    }
    keys.push_back(key.value());
  }
  return keys;
}

Result<void>
ReadLog(ObjectReader& aReader, HostSettings& aSettings)
{
  aSettings.m_logLevel = kLogLevels.front();
  const Node* node = aReader.OptionalMember("log");
  if (node == nullptr) {
    return {};
  }
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(*node));
  BOOST_LEAF_AUTO(level, reader.ChoiceOrFirst("level", kLogLevels));
  BOOST_LEAF_ASSIGN(aSettings.m_logFile, reader.TextOr("file", ""));
  aSettings.m_logLevel = kLogLevels.at(level);
  return reader.Finish();
}

Result<void>
CheckPlatform(const Node& aRoot, const HostSettings& aSettings)
{
  if (aSettings.m_configService == aSettings.m_hostList) {
    return jsonc::FailAt(aRoot,
                         ResultCode::JsonClash,
                         "config_service and host_list are both " +
                           ToString(aSettings.m_hostList) +
                           ", expected different addresses");
  }
  const base::Endpoint control{ aSettings.m_address,
                                aSettings.m_ports.m_control };
  if (aSettings.m_configService == control || aSettings.m_hostList == control) {
    return jsonc::FailAt(aRoot,
                         ResultCode::JsonClash,
                         "the platform's address " + ToString(control) +
                           " is this host's own, expected another");
  }
  return {};
}

} // namespace

Result<HostSettings>
ReadSettings(std::string_view aText)
{
  BOOST_LEAF_AUTO(root, jsonc::Parse(aText));
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(root));
  HostSettings settings;
  BOOST_LEAF_ASSIGN(settings.m_name, reader.Text("name"));
  BOOST_LEAF_ASSIGN(settings.m_zone, reader.Text("zone"));
  BOOST_LEAF_ASSIGN(settings.m_address, reader.AddressAt("address"));
  BOOST_LEAF_ASSIGN(settings.m_configService,
                    reader.EndpointAt("config_service"));
  BOOST_LEAF_ASSIGN(settings.m_hostList, reader.EndpointAt("host_list"));
  BOOST_LEAF_ASSIGN(settings.m_bundleKey,
                    reader.TextOr("bundle_key", "bundle"));
  BOOST_LEAF_ASSIGN(settings.m_trustedKeys, ReadKeys(reader));
  BOOST_LEAF_CHECK(ReadLog(reader, settings));
  const Node none{ jsonc::Members{}, root.m_line, "ports" };
  const Node* ports = reader.OptionalMember("ports");
  BOOST_LEAF_ASSIGN(settings.m_ports,
                    ReadPorts(ports == nullptr ? none : *ports));
  BOOST_LEAF_CHECK(reader.Finish());
  BOOST_LEAF_CHECK(CheckPlatform(root, settings));
  return settings;
}

} // namespace wasabiloom::settings
