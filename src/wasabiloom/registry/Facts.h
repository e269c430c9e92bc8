/// The facts that the registry publishes: values such as the configuration with
/// its routes, backend servers, and zones taken out of service.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Time.h"
#include "wasabiloom/registry/Revision.h"

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace wasabiloom::registry {

/// A service and its weight in the distribution of a route's new flows.
struct ServiceShare
{
  std::string m_service;
  std::uint32_t m_weight = 0;

  friend auto operator<=>(const ServiceShare&, const ServiceShare&) = default;
};

/// Priority of a route that states none, or one that can't be read.
constexpr std::uint32_t kLowestPriority = 255;

/// An address that callers send to, and the services that get its new flows.
struct Route
{
  std::string m_name;
  base::Endpoint m_address;
  std::vector<ServiceShare> m_shares;
  /// Urgency of the requests on the route; 0 is the highest.
  std::uint32_t m_priority = kLowestPriority;
  /// Whether callers may repeat the requests after any failure.
  bool m_isIdempotent = false;

  friend auto operator<=>(const Route&, const Route&) = default;
};

/// Settings of one service in the configuration.
struct ServiceRules
{
  std::string m_name;
  /// Limit on new flows per second to one cold backend server, over all hosts;
  /// 0 for no limit.
  double m_coldFlowsPerSecond = 0;

  friend auto operator<=>(const ServiceRules&, const ServiceRules&) = default;
};

/// One complete version of the configuration.
struct Configuration
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServiceRules> m_services;
  /// State of a flow without packets for longer than this may be dropped.
  base::Duration m_idleTimeout{ 0 };

  friend auto operator<=>(const Configuration&, const Configuration&) = default;
};

/// A version of the configuration without its routes, which are sent as
/// separate facts.
struct GlobalConfiguration
{
  std::uint64_t m_version = 0;
  std::vector<ServiceRules> m_services;
  base::Duration m_idleTimeout{ 0 };

  friend auto operator<=>(const GlobalConfiguration&,
                          const GlobalConfiguration&) = default;
};

/// State that a backend server reports in its entry.
enum class ServerState : std::uint8_t
{
  Ready,
  Draining,
};

/// Longest time for which a server counts as cold by one entry. One that says
/// that it stays cold for longer writes its entry again before.
constexpr base::Duration kMaxColdRemaining = std::chrono::hours(1);

/// The entry that a backend server publishes in the registry.
struct Server
{
  std::string m_id;
  /// Numeric form of the id, which identifies the server in a datagram.
  std::uint64_t m_numericId = 0;
  /// Distinguishes the starts of a server process under the same id.
  std::uint64_t m_startId = 0;
  std::string m_service;
  base::Endpoint m_address;
  std::string m_zone;
  std::uint32_t m_slots = 0;
  ServerState m_state = ServerState::Ready;
  /// How much longer the server stays cold, from the arrival of the entry on.
  base::Duration m_coldRemaining{ 0 };

  friend auto operator<=>(const Server&, const Server&) = default;
};

/// Content of a fact that takes a zone out of service.
struct ZoneOut
{
  friend auto operator<=>(const ZoneOut&, const ZoneOut&) = default;
};

/// Content of a fact whose value could not be decoded.
struct MalformedValue
{
  std::string m_reason;

  friend auto operator<=>(const MalformedValue&,
                          const MalformedValue&) = default;
};

/// Content of a fact whose value was removed from the registry.
struct Removed
{
  friend auto operator<=>(const Removed&, const Removed&) = default;
};

/// Kind of value that a fact describes.
enum class FactKind : std::uint8_t
{
  Configuration,
  Server,
  ZoneOut,
  /// One route of the configuration; its address is the name of the fact.
  Route,
  /// A value of none of these kinds, or an item that can't be read; it then has
  /// no name.
  Other,
};

using FactContent = std::variant<Configuration,
                                 GlobalConfiguration,
                                 Route,
                                 Server,
                                 ZoneOut,
                                 MalformedValue,
                                 Removed>;

/// How this host received a fact.
enum class Origin : std::uint8_t
{
  /// From a listing of existing values. This host may never have seen the
  /// values that they replaced.
  Listing,
  /// From a watch of the registry. This host has received every change before
  /// it.
  Watch,
  /// From another host, which may have left out changes in between.
  Peer,
};

/// One value published in the registry, or its removal.
struct Fact
{
  FactKind m_kind = FactKind::Other;
  /// Id of the server, name of the zone, or address of the route; empty for the
  /// configuration.
  std::string m_name;
  /// Revision of the registry at which the value changed. It increases with
  /// every change in the registry.
  RegistryRevision m_revision;
  FactContent m_content;
  /// Parts of the value that can't be read and are left out of the content,
  /// each with the reason.
  std::vector<std::string> m_leftOut{};

  friend auto operator<=>(const Fact&, const Fact&) = default;
};

/// Kinds and names of facts.
using FactNames = std::set<std::pair<FactKind, std::string>>;

/// Returns the name of `aKind` for logs. Thread safe.
std::string_view
ToString(FactKind aKind);

} // namespace wasabiloom::registry
