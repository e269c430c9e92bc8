/// Callers and backend servers of one service around a TokenHost, on virtual
/// time and without a network.
#pragma once

#include "support/CallerPacket.h"
#include "support/Registry.h"
#include "support/TimedEvent.h"
#include "wasabiloom/token/TokenHost.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wasabiloom::tests {

/// How a modelled server behaves.
enum class ServerMode : std::uint8_t
{
  Normal,
  /// Resets every packet, as a machine does whose server process has ended.
  Refusing,
  /// Sends nothing.
  Dark,
};

/// Load of a ServiceLoad. Requests of two routes share the servers.
struct LoadShape
{
  /// In the first zone, unless m_demand says otherwise.
  double m_requestsPerSecond = 100;
  base::Duration m_work = std::chrono::milliseconds(20);
  base::Duration m_aim = std::chrono::milliseconds(120);
  base::Duration m_timeout = std::chrono::milliseconds(1200);
  /// Attempts after the first one; each follows a failed one at once.
  int m_retries = 2;
  /// Requests per second by zone; each zone named here has m_hosts hosts.
  std::map<std::string, double> m_demand{};
  int m_hosts = 1;
  /// Requests that may wait at a server. It answers 503 to any further one, and
  /// the caller tries again on a new flow.
  std::size_t m_queue = SIZE_MAX;
  /// Part of the requests that are on the urgent route.
  double m_urgentPart = 0;
  /// Part of the flows that are kept open for kRequestsPerFlow requests; the
  /// others have one.
  double m_keptPart = 0;
  token::LoadFeatures m_features{};
};

constexpr int kRequestsPerFlow = 10;

/// What a server did since the last call of TakeServerCounts.
struct ServerCounts
{
  /// Opening packets that it received, and those that it did not answer.
  int m_openings = 0;
  int m_unanswered = 0;
  /// Time of its slots in use, and the largest number of requests in progress
  /// or waiting.
  base::Duration m_busy{ 0 };
  int m_peak = 0;

  friend auto operator<=>(const ServerCounts&, const ServerCounts&) = default;
};

/// Outcomes of the requests that have ended.
struct LoadCounts
{
  int m_inAim = 0;
  int m_late = 0;
  int m_failed = 0;
  /// Attempts that a host reset before the flow was open.
  int m_refused = 0;
  /// Attempts answered with 503.
  int m_rejected = 0;

  int Ended() const { return m_inAim + m_late + m_failed; }
  /// Part of the requests that met their objective.
  double MetPart() const
  {
    return static_cast<double>(m_inAim) / std::max(Ended(), 1);
  }
  LoadCounts& operator+=(const LoadCounts& aOther);

  friend auto operator<=>(const LoadCounts&, const LoadCounts&) = default;
};

/// True loads of zones, one second late. Each is the mean over half a second.
class LateReports final : public placing::SharedLoad
{
public:
  void Add(const std::map<std::string, double>& aLoads, base::Instant aNow);
  void Stop(base::Instant aNow) { m_stoppedAt = aNow; }
  std::optional<placing::ZoneLoad> LoadOfZone(
    std::string_view aService,
    std::string_view aZone,
    base::Instant aNow) const override;
  std::optional<placing::ServerObservation> ObservationOf(
    std::uint32_t aToken,
    base::Instant aNow) const override;

private:
  struct Sample
  {
    base::Instant m_at;
    std::map<std::string, double> m_loads;
  };

  std::deque<Sample> m_samples;
  std::optional<base::Instant> m_stoppedAt;
};

/// Callers of one zone whose requests are counted together.
struct CallerGroup
{
  std::string m_zone;
  bool m_isUrgent = false;

  friend auto operator<=>(const CallerGroup&, const CallerGroup&) = default;
};

/// Hosts that share the servers, and their callers. Callers send copies of
/// opening packets after 200 and 600 ms and give up after 1400 ms. A server
/// processes two requests at a time and queues the rest. Equal seeds give equal
/// runs.
class ServiceLoad
{
public:
  /// `aZones`: number of servers in each zone; without LoadShape::m_demand
  /// there is one host, in the first.
  ServiceLoad(const LoadShape& aShape,
              const std::map<std::string, int>& aZones,
              std::uint64_t aSeed);
  ~ServiceLoad();

  void RunFor(base::Duration aSpan);

  /// Sets how a server behaves, by its number from 1 on, and how much longer
  /// than normal its work takes.
  void SetServer(int aServer, ServerMode aMode, double aSlowdown = 1);

  /// Registers a new start of a server, with the same id and address.
  void RestartServer(int aServer);

  /// Returns the outcomes since the last call.
  LoadCounts TakeCounts();

  /// Returns what a server did since the last call.
  ServerCounts TakeServerCounts(int aServer);

  /// Returns the outcomes since the last call by group.
  std::map<CallerGroup, LoadCounts> TakeGroups();

  /// Multiplies the demand of `aZone`, or of all zones if it is empty.
  void ScaleDemand(const std::string& aZone, double aFactor);

  /// Returns a digest of all that the hosts have sent, in its order.
  std::uint64_t SentDigest() const { return m_sentDigest; }

  /// Ends the reports of the zones' loads, which hosts get one second late.
  void StopReports() { m_reports.Stop(m_now); }

  /// Returns the requests in progress per slot in `aZone`.
  double LoadOf(const std::string& aZone) const;

  /// Returns the first host of `aZone`.
  const token::TokenHost& HostOf(const std::string& aZone) const;

private:
  class Effects;

  struct Server
  {
    std::string m_zone{};
    ServerMode m_mode = ServerMode::Normal;
    double m_slowdown = 1;
    registry::Server m_entry{};
    ServerCounts m_counts{};
    int m_running = 0;
    std::queue<std::uint16_t> m_waiting{};
    /// Flows with a request in progress here, by the caller's port.
    std::set<std::uint16_t> m_flows{};
  };

  /// A flow and its present request.
  struct Attempt
  {
    CallerGroup m_group;
    base::Instant m_requestedAt;
    int m_retriesLeft = 0;
    bool m_isOpen = false;
    bool m_isIdle = false;
    std::uint32_t m_token = 0;
    int m_requestsLeft = 1;
    std::uint32_t m_requestsSent = 0;
    /// Differs between requests.
    std::uint64_t m_id = 0;
  };

  void Later(base::Duration aAfter, std::function<void()> aRun);
  void AddHosts(const std::string& aZone,
                const registry::Page& aPage,
                std::uint64_t aSeed);
  bool Chance(double aPart);
  void Arrive(const std::string& aZone);
  void Begin(const CallerGroup& aGroup,
             base::Instant aRequestedAt,
             int aRetriesLeft);
  bool BeginOnOpenFlow(const CallerGroup& aGroup);
  void TimeOut(std::uint16_t aPort, std::uint64_t aId);
  void SendOpening(std::uint16_t aPort, std::uint64_t aId, std::uint32_t aCopy);
  void SendRequest(std::uint16_t aPort);
  void SendToHost(const CallerGroup& aGroup, Sent aSent);
  void OnServerPacket(int aServer, const std::vector<std::byte>& aPacket);
  void StartWork(int aServer);
  void OnOpened(std::uint16_t aPort, std::uint32_t aToken);
  void OnRejected(std::uint16_t aPort);
  void OnResponse(std::uint16_t aPort);
  void OnAttemptFailed(std::uint16_t aPort, bool aByHost);
  void Close(std::uint16_t aPort, const Attempt& aAttempt);

  LoadShape m_shape;
  std::mt19937_64 m_random;
  base::Instant m_now = At(0);
  std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>>
    m_queue;
  std::uint64_t m_order = 0;
  std::vector<Server> m_servers;
  std::map<std::uint16_t, Attempt> m_attempts;
  std::map<CallerGroup, std::vector<std::uint16_t>> m_idle;
  std::uint16_t m_nextPort = 1024;
  std::uint64_t m_revision = 10;
  std::uint64_t m_nextId = 0;
  std::map<CallerGroup, LoadCounts> m_counts;
  std::uint64_t m_sentDigest = 0;
  LateReports m_reports;
  platform::DatagramCodec m_codec;
  std::unique_ptr<Effects> m_effects;
  std::map<std::string, std::vector<std::unique_ptr<token::TokenHost>>> m_hosts;
};

} // namespace wasabiloom::tests
