/// What hosts observe of the load of backend servers and tell each other.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Time.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabiloom::placing {

/// The servers of one service in one zone.
struct ServerGroup
{
  std::string m_service;
  std::string m_zone;

  friend auto operator<=>(const ServerGroup&, const ServerGroup&) = default;
};

/// Requests of one host in progress at the servers of a group, waiting ones
/// included; an average over time.
struct GroupRequests
{
  ServerGroup m_group;
  double m_requests = 0;

  friend auto operator<=>(const GroupRequests&, const GroupRequests&) = default;
};

/// What one host observed at one server.
struct ServerSample
{
  std::uint32_t m_token = 0;
  /// Average response time; zero if there is none.
  base::Duration m_latency{ 0 };
  /// Number of responses since the last sample of this server.
  std::uint32_t m_responses = 0;
  /// Whether opening packets lately went unanswered and nothing has been
  /// received since.
  bool m_isFailing = false;

  friend auto operator<=>(const ServerSample&, const ServerSample&) = default;
};

/// What one host observed since its last report.
struct HostLoad
{
  /// Requests by group; a group that is missing has none.
  std::vector<GroupRequests> m_requests;
  std::vector<ServerSample> m_servers;

  friend auto operator<=>(const HostLoad&, const HostLoad&) = default;
};

/// Number of means that a report holds of each group.
constexpr std::size_t kMeanLevels = 2;

/// Means of the requests of the hosts of one zone at the servers of a group, as
/// one of these hosts knows them.
struct GroupMeans
{
  ServerGroup m_group;
  /// First the mean over the hosts that this host received reports from, then
  /// the mean of their first means, and so on.
  std::array<double, kMeanLevels> m_means{};

  friend auto operator<=>(const GroupMeans&, const GroupMeans&) = default;
};

/// The mean requests per host of one zone at the servers of a group, as
/// estimated by a host of that zone.
struct ZoneRequests
{
  std::string m_sourceZone;
  ServerGroup m_group;
  double m_requestsPerHost = 0;
  /// Number of hosts on whose reports the mean rests.
  std::uint32_t m_reporters = 0;
  /// Time since the mean was estimated.
  base::Duration m_age{ 0 };

  friend auto operator<=>(const ZoneRequests&, const ZoneRequests&) = default;
};

/// What a host has learned from others and passes on.
struct LearnedLoad
{
  /// Means of its own zone; a group that is missing has none.
  std::vector<GroupMeans> m_means;
  /// Number of hosts on whose reports the means rest.
  std::uint32_t m_reporters = 0;
  /// Estimates of zones: those of its own zone, then the newest of others.
  std::vector<ZoneRequests> m_zones;

  friend auto operator<=>(const LearnedLoad&, const LearnedLoad&) = default;
};

/// The sender of a report.
struct Reporter
{
  base::Ipv4Address m_address;
  std::string m_zone;
  /// Increases with each start of the sender's process.
  std::uint64_t m_incarnation = 0;
  /// Increases with each report of the process.
  std::uint32_t m_sequence = 0;
  /// Whether this host is the sender.
  bool m_isSelf = false;

  friend auto operator<=>(const Reporter&, const Reporter&) = default;
};

/// Number of entries in the lists of a report that a host takes in. Senders
/// stay far below, as a report fits in one datagram; more is a fault.
constexpr std::size_t kMaxGroupsPerHost = 64;
constexpr std::size_t kMaxServersPerReport = 32;
constexpr std::size_t kMaxZoneRequests = 128;

/// Longest name of a service or zone in a report, in bytes.
constexpr std::size_t kMaxNameBytes = 64;

/// Largest number of requests in progress of one host that counts as valid.
constexpr double kMaxRequests = 1e6;

/// Longest response time in a report.
constexpr base::Duration kMaxReportedLatency = std::chrono::minutes(1);

} // namespace wasabiloom::placing
