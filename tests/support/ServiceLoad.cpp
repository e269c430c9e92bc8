#include "support/ServiceLoad.h"

#include <utility>

namespace wasabiloom::tests {

namespace {

constexpr base::Duration kCallerDelay = std::chrono::milliseconds(3);
constexpr base::Duration kServerDelay = std::chrono::microseconds(200);
constexpr base::Duration kTick = std::chrono::milliseconds(50);
constexpr base::Duration kFirstCopy = std::chrono::milliseconds(200);
constexpr base::Duration kSecondCopy = std::chrono::milliseconds(600);
constexpr base::Duration kAttemptTimeout = std::chrono::milliseconds(1400);
constexpr int kSlots = 2;
constexpr std::uint16_t kReturnPort = 8172;
constexpr std::uint16_t kRequestBytes = 900;

/// Bytes that name the server before a packet that is delivered to it.
constexpr std::size_t kServerBytes = 8;

template<typename T>
T
Field(const std::vector<std::byte>& aPacket, std::size_t aAt)
{
  T value{};
  std::memcpy(&value, aPacket.data() + aAt, sizeof(value));
  return value;
}

} // namespace

/// Passes what the host sends to servers; logs nothing.
class ServiceLoad::Effects final : public token::TokenEffects
{
public:
  explicit Effects(ServiceLoad& aLoad)
    : m_load(aLoad)
  {
  }

  void Send(const base::Endpoint& aTo,
            std::span<const std::byte> aBytes) override
  {
    const bool isToServer = aTo.m_port != kReturnPort;
    const std::size_t head = isToServer ? kServerBytes : 0;
    std::vector<std::byte> packet(
      aBytes.begin() + static_cast<std::ptrdiff_t>(head), aBytes.end());
    if (isToServer) {
      const int server = static_cast<int>(aTo.m_address.m_bits & 0xffU);
      m_load.Later(kServerDelay, [this, server, packet = std::move(packet)] {
        m_load.OnServerPacket(server, packet);
      });
      return;
    }
    // In a reset, the caller's port is the destination.
    const auto port = Field<std::uint16_t>(packet, 22);
    m_load.Later(kCallerDelay, [this, port] { m_load.OnAttemptFailed(port); });
  }
  void LogDecision(const token::Decision& /*aDecision*/) override {}
  void LogStateChange(std::string_view /*aWhat*/,
                      const std::string& /*aDetail*/) override
  {
  }
  void LogDetail(std::string_view /*aWhat*/,
                 const std::string& /*aDetail*/) override
  {
  }
  bool LogsDetails() const override { return false; }

private:
  ServiceLoad& m_load;
};

ServiceLoad::ServiceLoad(const LoadShape& aShape,
                         const std::map<std::string, int>& aZones,
                         std::uint64_t aSeed)
  : m_shape(aShape)
  , m_random(aSeed)
  , m_servers(1)
  , m_effects(std::make_unique<Effects>(*this))
  , m_host(std::make_unique<token::TokenHost>(
      token::TokenHostIdentity{ "h",
                                aZones.begin()->first,
                                kReturnPort,
                                std::chrono::seconds(4),
                                aShape.m_features },
      registry::ReaderTiming{},
      aSeed,
      m_codec,
      *m_effects))
{
  registry::Page page{ { ConfigurationFact(1, 1) }, "", 10 };
  for (const auto& [zone, count] : aZones) {
    for (int i = 0; i < count; ++i) {
      registry::Server server =
        MakeServer("i-" + std::to_string(m_servers.size()), zone);
      server.m_address.m_address.m_bits =
        0x0a800000U + static_cast<std::uint32_t>(m_servers.size());
      server.m_slots = kSlots;
      m_servers.emplace_back().m_entry = server;
      page.m_facts.push_back(ServerFact(server, 5));
    }
  }
  m_host->NextCall(m_now);
  m_host->OnListAnswer(page, m_now);
  m_host->NextCall(m_now);
  m_host->OnWatchAnswer(registry::Changes{ {}, 10 }, m_now);
  Later(kTick, [this] { Arrive(); });
}

ServiceLoad::~ServiceLoad() = default;

void
ServiceLoad::Later(base::Duration aAfter, std::function<void()> aRun)
{
  m_queue.push({ m_now + aAfter, ++m_order, std::move(aRun) });
}

void
ServiceLoad::RunFor(base::Duration aSpan)
{
  const base::Instant end = m_now + aSpan;
  for (base::Instant tick = m_now + kTick; m_now < end; tick += kTick) {
    while (!m_queue.empty() && m_queue.top().m_at <= tick) {
      const TimedEvent event = m_queue.top();
      m_queue.pop();
      m_now = event.m_at;
      event.m_run();
    }
    m_now = tick;
    m_host->OnTick(m_now);
  }
}

void
ServiceLoad::SetServer(int aServer, ServerMode aMode, double aSlowdown)
{
  Server& server = m_servers.at(static_cast<std::size_t>(aServer));
  server.m_mode = aMode;
  server.m_slowdown = aSlowdown;
}

void
ServiceLoad::RestartServer(int aServer)
{
  registry::Server& entry =
    m_servers.at(static_cast<std::size_t>(aServer)).m_entry;
  ++entry.m_startId;
  ++m_revision;
  m_host->NextCall(m_now);
  m_host->OnWatchAnswer(
    registry::Changes{ { ServerFact(entry, m_revision) }, m_revision }, m_now);
}

ServerCounts
ServiceLoad::TakeServerCounts(int aServer)
{
  return std::exchange(m_servers.at(static_cast<std::size_t>(aServer)).m_counts,
                       {});
}

LoadCounts
ServiceLoad::TakeCounts()
{
  return std::exchange(m_counts, {});
}

void
ServiceLoad::Arrive()
{
  Begin(m_now, m_shape.m_retries);
  std::exponential_distribution<double> pause(m_shape.m_requestsPerSecond);
  Later(std::chrono::duration_cast<base::Duration>(
          std::chrono::duration<double>(pause(m_random))),
        [this] { Arrive(); });
}

void
ServiceLoad::Begin(base::Instant aRequestedAt, int aRetriesLeft)
{
  const std::uint16_t port = m_nextPort++;
  m_attempts[port] = { aRequestedAt, aRetriesLeft };
  SendOpening(port, 0);
  Later(kFirstCopy, [=, this] { SendOpening(port, 1); });
  Later(kSecondCopy, [=, this] { SendOpening(port, 2); });
  Later(kAttemptTimeout, [=, this] {
    const auto attempt = m_attempts.find(port);
    if (attempt != m_attempts.end() && !attempt->second.m_isOpen) {
      OnAttemptFailed(port);
    }
  });
  Later(aRequestedAt + m_shape.m_timeout - m_now, [=, this] {
    if (m_attempts.erase(port) > 0) {
      ++m_counts.m_failed;
    }
  });
}

void
ServiceLoad::SendOpening(std::uint16_t aPort, std::uint32_t aCopy)
{
  const auto attempt = m_attempts.find(aPort);
  if (attempt == m_attempts.end() || attempt->second.m_isOpen) {
    return;
  }
  Sent opening;
  opening.m_callerPort = aPort;
  opening.m_acknowledged = aCopy;
  SendToHost(opening);
}

void
ServiceLoad::SendToHost(const Sent& aSent)
{
  Later(kCallerDelay, [this, aSent] { m_host->OnPacket(Write(aSent), m_now); });
}

void
ServiceLoad::OnServerPacket(int aServer, const std::vector<std::byte>& aPacket)
{
  Server& server = m_servers.at(static_cast<std::size_t>(aServer));
  const auto port = Field<std::uint16_t>(aPacket, 32);
  const auto token = Field<std::uint32_t>(aPacket, 0);
  const auto flags = Field<std::uint8_t>(aPacket, 12);
  if ((flags & kSyn) != 0) {
    ++server.m_counts.m_openings;
    server.m_counts.m_unanswered += server.m_mode == ServerMode::Normal ? 0 : 1;
  }
  if (server.m_mode == ServerMode::Dark || (flags & kFin) != 0) {
    return;
  }
  if (server.m_mode == ServerMode::Refusing) {
    Later(kCallerDelay, [=, this] { OnAttemptFailed(port); });
  } else if ((flags & kSyn) != 0) {
    Later(kCallerDelay, [=, this] { OnOpened(port, aServer, token); });
  } else if (Field<std::uint16_t>(aPacket, 16) > 0 &&
             server.m_flows.insert(port).second) {
    server.m_waiting.push(port);
    StartWork(aServer);
    const int inside =
      server.m_running + static_cast<int>(server.m_waiting.size());
    server.m_counts.m_peak = std::max(server.m_counts.m_peak, inside);
  }
}

void
ServiceLoad::StartWork(int aServer)
{
  Server& server = m_servers.at(static_cast<std::size_t>(aServer));
  if (server.m_running == kSlots || server.m_waiting.empty()) {
    return;
  }
  ++server.m_running;
  const std::uint16_t port = server.m_waiting.front();
  server.m_waiting.pop();
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  const auto work = std::chrono::duration_cast<base::Duration>(
    m_shape.m_work * server.m_slowdown * spread(m_random));
  server.m_counts.m_busy += work;
  Later(work, [=, this] {
    Server& done = m_servers.at(static_cast<std::size_t>(aServer));
    --done.m_running;
    done.m_flows.erase(port);
    Later(kCallerDelay, [=, this] { OnResponse(port); });
    StartWork(aServer);
  });
}

void
ServiceLoad::OnOpened(std::uint16_t aPort, int aServer, std::uint32_t aToken)
{
  const auto attempt = m_attempts.find(aPort);
  if (attempt == m_attempts.end() || attempt->second.m_isOpen) {
    return;
  }
  attempt->second.m_isOpen = true;
  attempt->second.m_server = aServer;
  attempt->second.m_token = aToken;
  Sent request;
  request.m_flags = kAck;
  request.m_token = aToken;
  request.m_sequence = 2;
  request.m_acknowledged = 9;
  request.m_length = kRequestBytes;
  request.m_callerPort = aPort;
  SendToHost(request);
}

void
ServiceLoad::OnResponse(std::uint16_t aPort)
{
  const auto found = m_attempts.find(aPort);
  if (found == m_attempts.end()) {
    return;
  }
  const Attempt attempt = found->second;
  m_attempts.erase(found);
  const bool isInAim = m_now - attempt.m_requestedAt <= m_shape.m_aim;
  ++(isInAim ? m_counts.m_inAim : m_counts.m_late);
  Sent close;
  close.m_flags = kAck | kFin;
  close.m_token = attempt.m_token;
  close.m_sequence = 2 + kRequestBytes;
  close.m_acknowledged = 9 + kRequestBytes;
  close.m_callerPort = aPort;
  SendToHost(close);
}

void
ServiceLoad::OnAttemptFailed(std::uint16_t aPort)
{
  const auto found = m_attempts.find(aPort);
  if (found == m_attempts.end()) {
    return;
  }
  const Attempt attempt = found->second;
  m_attempts.erase(found);
  if (attempt.m_isOpen || attempt.m_retriesLeft == 0) {
    ++m_counts.m_failed;
    return;
  }
  Begin(attempt.m_requestedAt, attempt.m_retriesLeft - 1);
}

} // namespace wasabiloom::tests
