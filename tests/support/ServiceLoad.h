/// Callers and backend servers of one service around a TokenHost, on virtual
/// time and without a network.
#pragma once

#include "support/CallerPacket.h"
#include "support/Registry.h"
#include "support/TimedEvent.h"
#include "wasabiloom/token/TokenHost.h"

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

/// Load of a ServiceLoad. Each request has a flow of its own.
struct LoadShape
{
  double m_requestsPerSecond = 100;
  base::Duration m_work = std::chrono::milliseconds(20);
  base::Duration m_aim = std::chrono::milliseconds(120);
  base::Duration m_timeout = std::chrono::milliseconds(1200);
  /// Attempts after the first one; each follows a failed one at once.
  int m_retries = 2;
  token::LoadFeatures m_features{};
};

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

  friend auto operator<=>(const LoadCounts&, const LoadCounts&) = default;
};

/// One host, its callers and servers. Callers send copies of opening packets
/// after 200 and 600 ms and give up after 1400 ms. A server processes two
/// requests at a time and queues the rest. Equal seeds give equal runs.
class ServiceLoad
{
public:
  /// `aZones`: number of servers in each zone; the host is in the first.
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

private:
  class Effects;

  struct Server
  {
    ServerMode m_mode = ServerMode::Normal;
    double m_slowdown = 1;
    registry::Server m_entry;
    ServerCounts m_counts;
    int m_running = 0;
    std::queue<std::uint16_t> m_waiting;
    /// Flows that are open here, by the caller's port.
    std::set<std::uint16_t> m_flows;
  };

  struct Attempt
  {
    base::Instant m_requestedAt;
    int m_retriesLeft = 0;
    bool m_isOpen = false;
    std::uint32_t m_token = 0;
    int m_server = 0;
  };

  void Later(base::Duration aAfter, std::function<void()> aRun);
  void Arrive();
  void Begin(base::Instant aRequestedAt, int aRetriesLeft);
  void SendOpening(std::uint16_t aPort, std::uint32_t aCopy);
  void SendToHost(const Sent& aSent);
  void OnServerPacket(int aServer, const std::vector<std::byte>& aPacket);
  void StartWork(int aServer);
  void OnOpened(std::uint16_t aPort, int aServer, std::uint32_t aToken);
  void OnResponse(std::uint16_t aPort);
  void OnAttemptFailed(std::uint16_t aPort);

  LoadShape m_shape;
  std::mt19937_64 m_random;
  base::Instant m_now = At(0);
  std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>>
    m_queue;
  std::uint64_t m_order = 0;
  std::vector<Server> m_servers;
  std::map<std::uint16_t, Attempt> m_attempts;
  std::uint16_t m_nextPort = 1024;
  std::uint64_t m_revision = 10;
  LoadCounts m_counts;
  platform::DatagramCodec m_codec;
  std::unique_ptr<Effects> m_effects;
  std::unique_ptr<token::TokenHost> m_host;
};

} // namespace wasabiloom::tests
