#include "wasabiloom/bundle/BundleReader.h"

#include "wasabiloom/jsonc/ObjectReader.h"
#include "wasabiloom/jsonc/Parser.h"

#include <array>
#include <limits>
#include <map>
#include <optional>

namespace wasabiloom::bundle {

namespace {

using base::Result;
using base::ResultCode;
using jsonc::Node;
using jsonc::ObjectReader;

constexpr std::int64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kDefaultWeight = 100;
constexpr std::int64_t kMaxSlots = 10000;
constexpr std::int64_t kDefaultSlots = 2;
constexpr std::int64_t kMaxFlowLimit = 10'000'000;
constexpr std::int64_t kDefaultMaxFlows = 2000;

constexpr std::array<std::string_view, 2> kZoneStates = { "in", "out" };
constexpr std::array<std::string_view, 2> kTargetStates = { "active",
                                                            "draining" };
constexpr std::array<std::string_view, 2> kModes = { "connections",
                                                     "requests" };
constexpr std::array<std::string_view, 2> kProtocols = { "tcp", "udp" };

/// Remembers who claimed a name or an address first.
class ClaimRegister
{
public:
  Result<void> Claim(const Node& aNode, const std::string& aClaim)
  {
    const auto [first, isNew] = m_lines.try_emplace(aClaim, aNode.m_line);
    if (isNew) {
      return {};
    }
    return jsonc::FailAt(aNode,
                         ResultCode::JsonClash,
                         aClaim + " is already taken on line " +
                           std::to_string(first->second) +
                           ", expected one use");
  }

private:
  std::map<std::string, int> m_lines;
};

Result<Zone>
ReadZone(const Node& aNode, ClaimRegister& aClaims)
{
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(aNode));
  BOOST_LEAF_AUTO(name, reader.Text("name"));
  BOOST_LEAF_AUTO(state, reader.ChoiceOrFirst("state", kZoneStates));
  BOOST_LEAF_CHECK(reader.Finish());
  BOOST_LEAF_CHECK(aClaims.Claim(aNode, "zone \"" + name + "\""));
  return Zone{ name, static_cast<ZoneState>(state) };
}

Result<void>
CheckZoneExists(const Node& aNode, const Bundle& aBundle, const Target& aTarget)
{
  for (const Zone& zone : aBundle.m_zones) {
    if (zone.m_name == aTarget.m_zone) {
      return {};
    }
  }
  return jsonc::FailAt(aNode,
                       ResultCode::JsonOutOfRange,
                       "zone \"" + aTarget.m_zone +
                         "\" is not listed, expected one of zones");
}

Result<Target>
ReadTarget(const Node& aNode, const Bundle& aBundle, ClaimRegister& aClaims)
{
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(aNode));
  Target target;
  BOOST_LEAF_ASSIGN(target.m_name, reader.Text("name"));
  BOOST_LEAF_ASSIGN(target.m_zone, reader.Text("zone"));
  BOOST_LEAF_ASSIGN(target.m_endpoint, reader.EndpointAt("address"));
  BOOST_LEAF_AUTO(weight,
                  reader.IntegerOr("weight", 0, kMaxWeight, kDefaultWeight));
  BOOST_LEAF_AUTO(slots,
                  reader.IntegerOr("slots", 1, kMaxSlots, kDefaultSlots));
  BOOST_LEAF_AUTO(
    flows, reader.IntegerOr("max_flows", 1, kMaxFlowLimit, kDefaultMaxFlows));
  BOOST_LEAF_AUTO(state, reader.ChoiceOrFirst("state", kTargetStates));
  BOOST_LEAF_CHECK(reader.Finish());
  target.m_weight = static_cast<std::uint32_t>(weight);
  target.m_slots = static_cast<std::uint32_t>(slots);
  target.m_maxFlows = static_cast<std::uint32_t>(flows);
  target.m_state = static_cast<TargetState>(state);
  BOOST_LEAF_CHECK(CheckZoneExists(aNode, aBundle, target));
  BOOST_LEAF_CHECK(
    aClaims.Claim(aNode, "backend server \"" + target.m_name + "\""));
  BOOST_LEAF_CHECK(aClaims.Claim(aNode, ToString(target.m_endpoint)));
  return target;
}

Result<Service>
ReadService(const Node& aNode, const Bundle& aBundle, ClaimRegister& aClaims)
{
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(aNode));
  Service service;
  BOOST_LEAF_ASSIGN(service.m_name, reader.Text("name"));
  BOOST_LEAF_ASSIGN(service.m_address.m_endpoint, reader.EndpointAt("address"));
  BOOST_LEAF_AUTO(mode, reader.ChoiceOrFirst("mode", kModes));
  BOOST_LEAF_AUTO(protocol, reader.ChoiceOrFirst("protocol", kProtocols));
  BOOST_LEAF_AUTO(statusPort, reader.IntegerOr("status_port", 0, kMaxPort, 0));
  BOOST_LEAF_AUTO(targets, reader.Array("targets"));
  BOOST_LEAF_CHECK(reader.Finish());
  service.m_statusPort = static_cast<std::uint16_t>(statusPort);
  service.m_mode = static_cast<ServiceMode>(mode);
  const bool udp = protocol == 1 || service.m_mode == ServiceMode::Requests;
  service.m_address.m_protocol =
    udp ? packet::Protocol::Udp : packet::Protocol::Tcp;
  BOOST_LEAF_CHECK(aClaims.Claim(aNode, "service \"" + service.m_name + "\""));
  BOOST_LEAF_CHECK(
    aClaims.Claim(aNode, ToString(service.m_address.m_endpoint)));
  for (const Node& element : *targets) {
    BOOST_LEAF_AUTO(target, ReadTarget(element, aBundle, aClaims));
    service.m_targets.push_back(target);
  }
  return service;
}

} // namespace

Result<Bundle>
ReadBundle(std::string_view aText)
{
  if (aText.size() > kMaxBundleBytes) {
    return base::Fail(ResultCode::BundleTooLarge,
                      std::to_string(aText.size()) +
                        " bytes, expected at most " +
                        std::to_string(kMaxBundleBytes));
  }
  BOOST_LEAF_AUTO(root, jsonc::Parse(aText));
  BOOST_LEAF_AUTO(reader, ObjectReader::Open(root));
  Bundle bundle;
  ClaimRegister claims;
  BOOST_LEAF_AUTO(version, reader.Integer("version", 1, kMaxVersion));
  bundle.m_version = static_cast<std::uint64_t>(version);
  BOOST_LEAF_AUTO(zones, reader.Array("zones"));
  BOOST_LEAF_AUTO(services, reader.Array("services"));
  BOOST_LEAF_CHECK(reader.Finish());
  for (const Node& element : *zones) {
    BOOST_LEAF_AUTO(zone, ReadZone(element, claims));
    bundle.m_zones.push_back(zone);
  }
  for (const Node& element : *services) {
    BOOST_LEAF_AUTO(service, ReadService(element, bundle, claims));
    bundle.m_services.push_back(service);
  }
  return bundle;
}

} // namespace wasabiloom::bundle
