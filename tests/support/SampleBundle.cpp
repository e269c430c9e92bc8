#include "support/SampleBundle.h"

#include <sstream>

namespace wasabiloom::tests {

namespace {

constexpr std::uint32_t kServiceNet = 0x0a640000;
constexpr std::uint32_t kTargetNet = 0x0a010000;
constexpr std::uint16_t kServicePort = 443;
constexpr std::uint16_t kTargetPort = 6080;

std::string
Quoted(const std::string& aText)
{
  return "\"" + aText + "\"";
}

void
WriteTarget(std::ostringstream& aOut, const bundle::Target& aTarget)
{
  const bool active = aTarget.m_state == bundle::TargetState::Active;
  aOut << "{\"name\":" << Quoted(aTarget.m_name)
       << ",\"zone\":" << Quoted(aTarget.m_zone)
       << ",\"address\":" << Quoted(ToString(aTarget.m_endpoint))
       << ",\"weight\":" << aTarget.m_weight << ",\"slots\":" << aTarget.m_slots
       << ",\"max_flows\":" << aTarget.m_maxFlows
       << ",\"state\":" << (active ? "\"active\"" : "\"draining\"") << "}";
}

void
WriteService(std::ostringstream& aOut, const bundle::Service& aService)
{
  const bool flows = aService.m_mode == bundle::ServiceMode::Connections;
  aOut << "{\"name\":" << Quoted(aService.m_name)
       << ",\"address\":" << Quoted(ToString(aService.m_address.m_endpoint))
       << ",\"mode\":" << (flows ? "\"connections\"" : "\"requests\"")
       << ",\"status_port\":" << aService.m_statusPort << ",\"targets\":[";
  for (std::size_t i = 0; i < aService.m_targets.size(); ++i) {
    aOut << (i == 0 ? "" : ",");
    WriteTarget(aOut, aService.m_targets[i]);
  }
  aOut << "]}";
}

} // namespace

bundle::Service
SampleService(const std::string& aName, int aTargets, int aNet)
{
  static const std::vector<std::string> sZones = { "a", "b", "c" };
  bundle::Service service;
  service.m_name = aName;
  const auto net = static_cast<std::uint32_t>(aNet);
  service.m_address = { packet::Protocol::Tcp,
                        { { kServiceNet + net }, kServicePort } };
  for (int i = 0; i < aTargets; ++i) {
    const auto index = static_cast<std::uint32_t>(i);
    bundle::Target target;
    target.m_name = aName + "-" + std::to_string(i + 1);
    target.m_zone = sZones[index % sZones.size()];
    target.m_endpoint = { { kTargetNet + (net << 8) + index + 1 },
                          kTargetPort };
    target.m_weight = 100;
    target.m_slots = 2;
    target.m_maxFlows = 2000;
    service.m_targets.push_back(target);
  }
  return service;
}

bundle::Bundle
SampleBundle(std::uint64_t aVersion, std::vector<bundle::Service> aServices)
{
  using bundle::ZoneState;
  return {
    aVersion,
    { { "a", ZoneState::In }, { "b", ZoneState::In }, { "c", ZoneState::In } },
    std::move(aServices)
  };
}

std::string
BundleText(const bundle::Bundle& aBundle)
{
  std::ostringstream out;
  out << "// made by a test\n{\"version\":" << aBundle.m_version
      << ",\"zones\":[";
  for (std::size_t i = 0; i < aBundle.m_zones.size(); ++i) {
    const bool in = aBundle.m_zones[i].m_state == bundle::ZoneState::In;
    out << (i == 0 ? "" : ",")
        << "{\"name\":" << Quoted(aBundle.m_zones[i].m_name)
        << ",\"state\":" << (in ? "\"in\"" : "\"out\"") << "}";
  }
  out << "],\"services\":[";
  for (std::size_t i = 0; i < aBundle.m_services.size(); ++i) {
    out << (i == 0 ? "" : ",\n");
    WriteService(out, aBundle.m_services[i]);
  }
  out << "]}\n";
  return out.str();
}

} // namespace wasabiloom::tests
