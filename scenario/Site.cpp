#include "Site.h"

#include "support/SampleBundle.h"
#include "wasabiloom/bundle/SignedBundle.h"

#include <algorithm>
#include <cstdlib>

namespace wasabiloom::scenario {

namespace {

constexpr std::uint16_t kStatusPort = 8080;
constexpr std::uint32_t kHostNet = 0x0a0a0000;

} // namespace

std::string
HostName(int aIndex)
{
  return "h" + std::to_string(aIndex + 1);
}

base::Ipv4Address
HostAddress(int aIndex)
{
  return { kHostNet + static_cast<std::uint32_t>(aIndex) + 1 };
}

Site::Site(const Script& aScript)
  : m_keys(bundle::NewKeyPair())
{
  m_bundle.m_version = 1;
  for (const std::string& zone : aScript.m_zones) {
    m_bundle.m_zones.push_back({ zone, bundle::ZoneState::In });
  }
  int net = 0;
  for (const ServiceSpec& spec : aScript.m_services) {
    auto service = tests::SampleService(spec.m_name, spec.m_targets, ++net);
    for (std::size_t i = 0; i < service.m_targets.size(); ++i) {
      service.m_targets[i].m_zone = aScript.m_zones[i % aScript.m_zones.size()];
    }
    service.m_statusPort = kStatusPort;
    if (spec.m_requests) {
      service.m_mode = bundle::ServiceMode::Requests;
      service.m_address.m_protocol = packet::Protocol::Udp;
    }
    m_bundle.m_services.push_back(service);
  }
  m_list.m_revision = 1;
  for (int i = 0; i < aScript.m_hosts; ++i) {
    const auto zone = static_cast<std::size_t>(i) % aScript.m_zones.size();
    m_list.m_hosts.push_back({ HostName(i),
                               aScript.m_zones[zone],
                               { HostAddress(i), kPeerPort },
                               { HostAddress(i), kRelayPort } });
  }
}

std::string
Site::SignedBundle() const
{
  return base::Handle(
    [&] {
      return bundle::SignBundle(tests::BundleText(m_bundle), m_keys.m_secret);
    },
    [](const base::Problem&) -> std::string { std::abort(); });
}

bundle::Target*
Site::FindTarget(const std::string& aName)
{
  for (bundle::Service& service : m_bundle.m_services) {
    for (bundle::Target& target : service.m_targets) {
      if (target.m_name == aName) {
        return &target;
      }
    }
  }
  return nullptr;
}

const bundle::Target*
Site::TargetAt(const base::Endpoint& aEndpoint, std::string& aService) const
{
  for (const bundle::Service& service : m_bundle.m_services) {
    for (const bundle::Target& target : service.m_targets) {
      if (target.m_endpoint == aEndpoint) {
        aService = service.m_name;
        return &target;
      }
    }
  }
  return nullptr;
}

const bundle::Target*
Site::TargetWithAddress(const base::Ipv4Address& aAddress) const
{
  for (const bundle::Service& service : m_bundle.m_services) {
    for (const bundle::Target& target : service.m_targets) {
      if (target.m_endpoint.m_address == aAddress) {
        return &target;
      }
    }
  }
  return nullptr;
}

bool
Site::AddTarget(const std::string& aService)
{
  for (bundle::Service& service : m_bundle.m_services) {
    if (service.m_name == aService) {
      bundle::Target target = service.m_targets.back();
      const auto number = service.m_targets.size();
      target.m_name = aService + "-" + std::to_string(number + 1);
      target.m_zone = m_bundle.m_zones[number % m_bundle.m_zones.size()].m_name;
      ++target.m_endpoint.m_address.m_bits;
      target.m_state = bundle::TargetState::Active;
      service.m_targets.push_back(target);
      return true;
    }
  }
  return false;
}

bool
Site::SetZone(const std::string& aZone,
              bundle::ZoneState aState,
              base::Instant aNow)
{
  const auto zone =
    std::ranges::find(m_bundle.m_zones, aZone, &bundle::Zone::m_name);
  if (zone == m_bundle.m_zones.end()) {
    return false;
  }
  zone->m_state = aState;
  if (aState == bundle::ZoneState::Out) {
    m_outSince.try_emplace(aZone, aNow);
  } else {
    m_outSince.erase(aZone);
  }
  return true;
}

void
Site::SetLeaving(const std::string& aTarget, bool aLeaving, base::Instant aNow)
{
  bundle::Target* target = FindTarget(aTarget);
  if (target == nullptr) {
    return;
  }
  if (aLeaving) {
    target->m_state = bundle::TargetState::Draining;
    m_leavingSince.try_emplace(aTarget, aNow);
  } else {
    target->m_state = bundle::TargetState::Active;
    m_leavingSince.erase(aTarget);
    std::erase(m_list.m_leavingTargets, aTarget);
  }
}

void
Site::SetListedLeaving(const std::string& aTarget, base::Instant aNow)
{
  m_list.m_leavingTargets.push_back(aTarget);
  m_leavingSince.try_emplace(aTarget, aNow);
}

std::optional<base::Instant>
Site::LeavingSince(const std::string& aTarget) const
{
  const auto found = m_leavingSince.find(aTarget);
  return found == m_leavingSince.end() ? std::nullopt
                                       : std::optional(found->second);
}

std::optional<base::Instant>
Site::OutSince(const std::string& aZone) const
{
  const auto found = m_outSince.find(aZone);
  return found == m_outSince.end() ? std::nullopt
                                   : std::optional(found->second);
}

} // namespace wasabiloom::scenario
