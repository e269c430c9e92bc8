/// The operators' configuration: zones, services and their backend servers.
#pragma once

#include "wasabiloom/packet/IpPacket.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabiloom::bundle {

/// Whether an availability zone may be used.
enum class ZoneState : std::uint8_t
{
  In,
  Out,
};

/// What a backend server may be given.
enum class TargetState : std::uint8_t
{
  Active,
  Draining,
};

/// How a service is carried.
enum class ServiceMode : std::uint8_t
{
  Connections,
  Requests,
};

/// Availability zone.
struct Zone
{
  std::string m_name;
  ZoneState m_state = ZoneState::In;

  friend auto operator<=>(const Zone&, const Zone&) = default;
};

/// One backend server of one service.
struct Target
{
  std::string m_name;
  std::string m_zone;
  base::Endpoint m_endpoint;
  std::uint32_t m_weight = 0;
  std::uint32_t m_slots = 0;
  std::uint32_t m_maxFlows = 0;
  TargetState m_state = TargetState::Active;

  friend auto operator<=>(const Target&, const Target&) = default;
};

/// One service: the address callers use and the backend servers behind it.
struct Service
{
  std::string m_name;
  packet::ServiceAddress m_address;
  ServiceMode m_mode = ServiceMode::Connections;
  /// Port of the backend servers' status pages; 0 when they have none.
  std::uint16_t m_statusPort = 0;
  std::vector<Target> m_targets;

  friend auto operator<=>(const Service&, const Service&) = default;
};

/// One version of the whole configuration. Never changed once built.
struct Bundle
{
  std::uint64_t m_version = 0;
  std::vector<Zone> m_zones;
  std::vector<Service> m_services;

  friend auto operator<=>(const Bundle&, const Bundle&) = default;
};

/// State of the zone named `aZone`; a zone the bundle lacks is Out.
/// Thread safe.
ZoneState
StateOfZone(const Bundle& aBundle, const std::string& aZone);

} // namespace wasabiloom::bundle
