/// Load of backend servers as several hosts observe it.
#pragma once

#include "wasabiloom/base/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace wasabiloom::placing {

/// Load of the servers of one service in one zone.
struct ZoneLoad
{
  /// Requests in progress per slot over all hosts, waiting ones included.
  double m_requestsPerSlot = 0;
  /// Age of the newest report that the estimate rests on.
  base::Duration m_age{ 0 };

  friend auto operator<=>(const ZoneLoad&, const ZoneLoad&) = default;
};

/// What several hosts observed at one server.
struct ServerObservation
{
  /// Average response time; zero if there is none.
  base::Duration m_latency{ 0 };
  /// Number of responses that the average rests on.
  std::uint32_t m_responses = 0;
  /// Number of hosts whose opening packets lately went unanswered and that have
  /// not received a response since.
  std::uint32_t m_failingHosts = 0;

  friend auto operator<=>(const ServerObservation&,
                          const ServerObservation&) = default;
};

/// Gives the load that hosts share. Not thread safe.
class SharedLoad
{
public:
  virtual ~SharedLoad();

  /// Returns the load of the servers of `aService` in `aZone`; empty if there
  /// are too few recent reports.
  virtual std::optional<ZoneLoad> LoadOfZone(std::string_view aService,
                                             std::string_view aZone,
                                             base::Instant aNow) const = 0;

  /// Returns what is known of the server `aToken`; empty if nothing recent is.
  virtual std::optional<ServerObservation> ObservationOf(
    std::uint32_t aToken,
    base::Instant aNow) const = 0;
};

} // namespace wasabiloom::placing
