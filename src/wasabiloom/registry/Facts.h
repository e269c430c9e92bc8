/// What a registry publishes: routes, backend servers, zones taken out.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabiloom::registry {

/// A service and its part of a route's new flows.
struct ServiceShare
{
  std::string m_service;
  std::uint32_t m_weight = 0;

  friend auto operator<=>(const ServiceShare&, const ServiceShare&) = default;
};

/// An address that callers send to, and where its new flows go.
struct Route
{
  std::string m_name;
  base::Endpoint m_address;
  std::vector<ServiceShare> m_shares;

  friend auto operator<=>(const Route&, const Route&) = default;
};

/// What the configuration says of one service.
struct ServiceRules
{
  std::string m_name;
  /// New flows a second that one cold backend server bears, over all hosts; 0
  /// where no limit is stated.
  double m_coldFlowsPerSecond = 0;

  friend auto operator<=>(const ServiceRules&, const ServiceRules&) = default;
};

/// One version of the whole configuration.
struct Configuration
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServiceRules> m_services;
  /// A flow that is silent for longer may be forgotten.
  base::Duration m_idleTimeout{ 0 };

  friend auto operator<=>(const Configuration&, const Configuration&) = default;
};

/// A version of the configuration without its routes, which travel as facts of
/// their own.
struct GlobalConfiguration
{
  std::uint64_t m_version = 0;
  std::vector<ServiceRules> m_services;
  base::Duration m_idleTimeout{ 0 };

  friend auto operator<=>(const GlobalConfiguration&,
                          const GlobalConfiguration&) = default;
};

/// What a backend server says of itself.
enum class ServerState : std::uint8_t
{
  Ready,
  Draining,
};

/// A backend server's own entry.
struct Server
{
  std::string m_id;
  /// The id as the number that names the server in a datagram.
  std::uint64_t m_numericId = 0;
  /// Tells apart the starts of a server under one id.
  std::uint64_t m_startId = 0;
  std::string m_service;
  base::Endpoint m_address;
  std::string m_zone;
  std::uint32_t m_slots = 0;
  ServerState m_state = ServerState::Ready;
  /// How much longer the server is cold, counted from when the entry came.
  base::Duration m_coldRemaining{ 0 };

  friend auto operator<=>(const Server&, const Server&) = default;
};

/// Marks a zone as taken out of service.
struct ZoneOut
{
  friend auto operator<=>(const ZoneOut&, const ZoneOut&) = default;
};

/// A value that could not be understood.
struct MalformedValue
{
  std::string m_reason;

  friend auto operator<=>(const MalformedValue&,
                          const MalformedValue&) = default;
};

/// The value is no longer there.
struct Removed
{
  friend auto operator<=>(const Removed&, const Removed&) = default;
};

/// What a fact is about.
enum class FactKind : std::uint8_t
{
  Configuration,
  Server,
  ZoneOut,
  /// One route of the configuration; named by its address.
  Route,
  Other,
};

using FactContent = std::variant<Configuration,
                                 GlobalConfiguration,
                                 Route,
                                 Server,
                                 ZoneOut,
                                 MalformedValue,
                                 Removed>;

/// Where a fact came from.
enum class Origin : std::uint8_t
{
  /// One of many that were there before this host; what they replaced may
  /// never have been seen here.
  Listing,
  /// A change that the registry told this host, which saw every one before.
  Watch,
  /// Another host; changes in between may have been left out.
  Peer,
};

/// One published value, or its removal.
struct Fact
{
  FactKind m_kind = FactKind::Other;
  /// Id of the server, name of the zone, or address of the route.
  std::string m_name;
  /// Rises with every change in the registry.
  std::uint64_t m_revision = 0;
  FactContent m_content;

  friend auto operator<=>(const Fact&, const Fact&) = default;
};

/// Name of `aKind` for logs. Thread safe.
std::string_view
ToString(FactKind aKind);

} // namespace wasabiloom::registry
