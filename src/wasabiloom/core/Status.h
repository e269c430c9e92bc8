/// Snapshot of a host for operators.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabiloom::core {

/// One backend server in a status.
struct TargetStatus
{
  std::string m_name;
  std::string m_state;
  std::uint64_t m_rows = 0;
  std::uint64_t m_flows = 0;

  friend auto operator<=>(const TargetStatus&, const TargetStatus&) = default;
};

/// One service in a status.
struct ServiceStatus
{
  std::string m_name;
  std::string m_tableVersion;
  std::uint64_t m_pinnedFlows = 0;
  std::uint64_t m_movingRows = 0;
  std::vector<TargetStatus> m_targets;

  friend auto operator<=>(const ServiceStatus&, const ServiceStatus&) = default;
};

/// The whole status.
struct HostStatus
{
  std::string m_host;
  std::string m_zone;
  bool m_ready = false;
  std::uint64_t m_bundleVersion = 0;
  std::uint64_t m_listRevision = 0;
  std::uint64_t m_flows = 0;
  std::uint64_t m_requestsInProgress = 0;
  std::vector<std::string> m_livePeers;
  std::vector<ServiceStatus> m_services;

  friend auto operator<=>(const HostStatus&, const HostStatus&) = default;
};

/// Why a flow goes where it goes.
struct Explanation
{
  std::string m_service;
  std::string m_target;
  std::string m_targetAddress;
  std::string m_reason;
  std::vector<std::string> m_steps;

  friend auto operator<=>(const Explanation&, const Explanation&) = default;
};

} // namespace wasabiloom::core
