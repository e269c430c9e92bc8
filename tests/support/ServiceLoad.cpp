#include "support/ServiceLoad.h"

#include "wasabiloom/base/Hash.h"

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
constexpr base::Duration kReportDelay = std::chrono::seconds(1);
constexpr base::Duration kReportSpan = std::chrono::milliseconds(500);
constexpr base::Duration kReportLife = std::chrono::seconds(2);
constexpr std::uint16_t kUrgentPort = 444;
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
    m_load.m_sentDigest = base::Combine(
      m_load.m_sentDigest,
      base::HashText(
        { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() },
        aTo.m_address.m_bits));
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
    m_load.Later(kCallerDelay,
                 [this, port] { m_load.OnAttemptFailed(port, true); });
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

void
LateReports::Add(const std::map<std::string, double>& aLoads,
                 base::Instant aNow)
{
  if (m_stoppedAt) {
    return;
  }
  m_samples.push_back({ aNow, aLoads });
  while (aNow - m_samples.front().m_at > kReportDelay + kReportSpan) {
    m_samples.pop_front();
  }
}

std::optional<placing::ZoneLoad>
LateReports::LoadOfZone(std::string_view /*aService*/,
                        std::string_view aZone,
                        base::Instant aNow) const
{
  const base::Instant until =
    std::min(aNow, m_stoppedAt.value_or(aNow)) - kReportDelay;
  double sum = 0;
  int count = 0;
  for (const Sample& sample : m_samples) {
    const auto load = sample.m_loads.find(std::string(aZone));
    if (sample.m_at <= until && load != sample.m_loads.end()) {
      sum += load->second;
      ++count;
    }
  }
  if (count == 0 || aNow - until > kReportLife) {
    return std::nullopt;
  }
  return placing::ZoneLoad{ sum / count, aNow - until };
}

std::optional<placing::ServerObservation>
LateReports::ObservationOf(std::uint32_t /*aToken*/,
                           base::Instant /*aNow*/) const
{
  return std::nullopt;
}

LoadCounts&
LoadCounts::operator+=(const LoadCounts& aOther)
{
  m_inAim += aOther.m_inAim;
  m_late += aOther.m_late;
  m_failed += aOther.m_failed;
  m_refused += aOther.m_refused;
  m_rejected += aOther.m_rejected;
  return *this;
}

ServiceLoad::ServiceLoad(const LoadShape& aShape,
                         const std::map<std::string, int>& aZones,
                         std::uint64_t aSeed)
  : m_shape(aShape)
  , m_random(aSeed)
  , m_servers(1)
  , m_effects(std::make_unique<Effects>(*this))
{
  if (m_shape.m_demand.empty()) {
    m_shape.m_demand[aZones.begin()->first] = m_shape.m_requestsPerSecond;
  }
  registry::Fact configuration = ConfigurationFact(1, 1);
  auto& routes =
    std::get<registry::Configuration>(configuration.m_content).m_routes;
  routes[0].m_priority = 2;
  routes[0].m_isIdempotent = true;
  routes.push_back(routes[0]);
  routes[1].m_name = "urgent";
  routes[1].m_address.m_port = kUrgentPort;
  routes[1].m_priority = 1;
  routes[1].m_isIdempotent = false;
  registry::Page page{ { configuration }, "", 10 };
  for (const auto& [zone, count] : aZones) {
    for (int i = 0; i < count; ++i) {
      registry::Server server =
        MakeServer("i-" + std::to_string(m_servers.size()), zone);
      server.m_address.m_address.m_bits =
        0x0a800000U + static_cast<std::uint32_t>(m_servers.size());
      server.m_slots = kSlots;
      m_servers.push_back({ zone });
      m_servers.back().m_entry = server;
      page.m_facts.push_back(ServerFact(server, 5));
    }
  }
  for (const auto& [zone, demand] : m_shape.m_demand) {
    AddHosts(zone, page, aSeed);
    Later(kTick, [this, name = zone] { Arrive(name); });
  }
}

void
ServiceLoad::AddHosts(const std::string& aZone,
                      const registry::Page& aPage,
                      std::uint64_t aSeed)
{
  for (int i = 0; i < m_shape.m_hosts; ++i) {
    m_hosts[aZone].push_back(std::make_unique<token::TokenHost>(
      token::TokenHostIdentity{
        "h", aZone, kReturnPort, std::chrono::seconds(4), m_shape.m_features },
      registry::ReaderTiming{},
      aSeed,
      m_codec,
      *m_effects,
      &m_reports));
    token::TokenHost& host = *m_hosts[aZone].back();
    host.NextCall(m_now);
    host.OnListAnswer(aPage, m_now);
    host.NextCall(m_now);
    host.OnWatchAnswer(registry::Changes{ {}, 10 }, m_now);
  }
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
    std::map<std::string, double> loads;
    for (const Server& server : m_servers) {
      loads[server.m_zone] = LoadOf(server.m_zone);
    }
    m_reports.Add(loads, m_now);
    for (const auto& [zone, hosts] : m_hosts) {
      for (const auto& host : hosts) {
        host->OnTick(m_now);
      }
    }
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
  const registry::Changes changes{ { ServerFact(entry, m_revision) },
                                   m_revision };
  for (const auto& [zone, hosts] : m_hosts) {
    for (const auto& host : hosts) {
      host->NextCall(m_now);
      host->OnWatchAnswer(changes, m_now);
    }
  }
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
  LoadCounts sum;
  for (const auto& [group, counts] : TakeGroups()) {
    sum += counts;
  }
  return sum;
}

std::map<CallerGroup, LoadCounts>
ServiceLoad::TakeGroups()
{
  return std::exchange(m_counts, {});
}

void
ServiceLoad::ScaleDemand(const std::string& aZone, double aFactor)
{
  for (auto& [zone, demand] : m_shape.m_demand) {
    demand *= aZone.empty() || zone == aZone ? aFactor : 1;
  }
}

double
ServiceLoad::LoadOf(const std::string& aZone) const
{
  double requests = 0;
  int slots = 0;
  for (const Server& server : m_servers) {
    if (server.m_zone == aZone) {
      requests +=
        server.m_running + static_cast<double>(server.m_waiting.size());
      slots += kSlots;
    }
  }
  return requests / std::max(slots, 1);
}

const token::TokenHost&
ServiceLoad::HostOf(const std::string& aZone) const
{
  return *m_hosts.at(aZone).front();
}

bool
ServiceLoad::Chance(double aPart)
{
  return aPart > 0 && std::bernoulli_distribution(aPart)(m_random);
}

void
ServiceLoad::Arrive(const std::string& aZone)
{
  const CallerGroup group{ aZone, Chance(m_shape.m_urgentPart) };
  if (!BeginOnOpenFlow(group)) {
    Begin(group, m_now, m_shape.m_retries);
  }
  std::exponential_distribution<double> pause(m_shape.m_demand.at(aZone));
  Later(std::chrono::duration_cast<base::Duration>(
          std::chrono::duration<double>(pause(m_random))),
        [=, this] { Arrive(aZone); });
}

bool
ServiceLoad::BeginOnOpenFlow(const CallerGroup& aGroup)
{
  std::vector<std::uint16_t>& idle = m_idle[aGroup];
  if (idle.empty()) {
    return false;
  }
  const std::uint16_t port = idle.back();
  idle.pop_back();
  Attempt& attempt = m_attempts.at(port);
  attempt.m_isIdle = false;
  attempt.m_requestedAt = m_now;
  attempt.m_retriesLeft = m_shape.m_retries;
  attempt.m_id = ++m_nextId;
  SendRequest(port);
  Later(m_shape.m_timeout, [=, this, id = m_nextId] { TimeOut(port, id); });
  return true;
}

void
ServiceLoad::Begin(const CallerGroup& aGroup,
                   base::Instant aRequestedAt,
                   int aRetriesLeft)
{
  while (m_attempts.contains(m_nextPort)) {
    ++m_nextPort;
  }
  const std::uint16_t port = m_nextPort++;
  const std::uint64_t id = ++m_nextId;
  Attempt& attempt = m_attempts[port];
  attempt.m_group = aGroup;
  attempt.m_requestedAt = aRequestedAt;
  attempt.m_retriesLeft = aRetriesLeft;
  attempt.m_requestsLeft = Chance(m_shape.m_keptPart) ? kRequestsPerFlow : 1;
  attempt.m_id = id;
  SendOpening(port, id, 0);
  Later(kFirstCopy, [=, this] { SendOpening(port, id, 1); });
  Later(kSecondCopy, [=, this] { SendOpening(port, id, 2); });
  Later(kAttemptTimeout, [=, this] {
    const auto found = m_attempts.find(port);
    if (found != m_attempts.end() && found->second.m_id == id &&
        !found->second.m_isOpen) {
      OnAttemptFailed(port, false);
    }
  });
  Later(aRequestedAt + m_shape.m_timeout - m_now,
        [=, this] { TimeOut(port, id); });
}

void
ServiceLoad::TimeOut(std::uint16_t aPort, std::uint64_t aId)
{
  const auto attempt = m_attempts.find(aPort);
  if (attempt != m_attempts.end() && attempt->second.m_id == aId &&
      !attempt->second.m_isIdle) {
    ++m_counts[attempt->second.m_group].m_failed;
    m_attempts.erase(attempt);
  }
}

void
ServiceLoad::SendOpening(std::uint16_t aPort,
                         std::uint64_t aId,
                         std::uint32_t aCopy)
{
  const auto attempt = m_attempts.find(aPort);
  if (attempt == m_attempts.end() || attempt->second.m_id != aId ||
      attempt->second.m_isOpen) {
    return;
  }
  Sent opening;
  opening.m_callerPort = aPort;
  opening.m_acknowledged = aCopy;
  SendToHost(attempt->second.m_group, opening);
}

void
ServiceLoad::SendToHost(const CallerGroup& aGroup, Sent aSent)
{
  aSent.m_port = aGroup.m_isUrgent ? kUrgentPort : aSent.m_port;
  const auto& hosts = m_hosts.at(aGroup.m_zone);
  token::TokenHost* host = hosts.at(aSent.m_callerPort % hosts.size()).get();
  Later(kCallerDelay, [=, this] { host->OnPacket(Write(aSent), m_now); });
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
    Later(kCallerDelay, [=, this] { OnAttemptFailed(port, false); });
  } else if ((flags & kSyn) != 0) {
    Later(kCallerDelay, [=, this] { OnOpened(port, token); });
  } else if (Field<std::uint16_t>(aPacket, 16) > 0 &&
             !server.m_flows.contains(port)) {
    const bool isFull =
      server.m_running == kSlots && server.m_waiting.size() >= m_shape.m_queue;
    if (isFull) {
      Later(kCallerDelay, [=, this] { OnRejected(port); });
      return;
    }
    server.m_flows.insert(port);
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
ServiceLoad::OnOpened(std::uint16_t aPort, std::uint32_t aToken)
{
  const auto attempt = m_attempts.find(aPort);
  if (attempt == m_attempts.end() || attempt->second.m_isOpen) {
    return;
  }
  attempt->second.m_isOpen = true;
  attempt->second.m_token = aToken;
  SendRequest(aPort);
}

void
ServiceLoad::SendRequest(std::uint16_t aPort)
{
  Attempt& attempt = m_attempts.at(aPort);
  const std::uint32_t before = attempt.m_requestsSent * kRequestBytes;
  Sent request;
  request.m_flags = kAck;
  request.m_token = attempt.m_token;
  request.m_sequence = 2 + before;
  request.m_acknowledged = 9 + before;
  request.m_length = kRequestBytes;
  request.m_callerPort = aPort;
  ++attempt.m_requestsSent;
  --attempt.m_requestsLeft;
  SendToHost(attempt.m_group, request);
}

void
ServiceLoad::OnRejected(std::uint16_t aPort)
{
  const auto found = m_attempts.find(aPort);
  if (found == m_attempts.end()) {
    return;
  }
  const Attempt attempt = found->second;
  m_attempts.erase(found);
  ++m_counts[attempt.m_group].m_rejected;
  Close(aPort, attempt);
  if (attempt.m_retriesLeft == 0) {
    ++m_counts[attempt.m_group].m_failed;
    return;
  }
  Begin(attempt.m_group, attempt.m_requestedAt, attempt.m_retriesLeft - 1);
}

void
ServiceLoad::OnResponse(std::uint16_t aPort)
{
  const auto found = m_attempts.find(aPort);
  if (found == m_attempts.end()) {
    return;
  }
  Attempt& attempt = found->second;
  const bool isInAim = m_now - attempt.m_requestedAt <= m_shape.m_aim;
  LoadCounts& counts = m_counts[attempt.m_group];
  ++(isInAim ? counts.m_inAim : counts.m_late);
  if (attempt.m_requestsLeft > 0) {
    attempt.m_isIdle = true;
    m_idle[attempt.m_group].push_back(aPort);
    return;
  }
  const Attempt ended = attempt;
  m_attempts.erase(found);
  Close(aPort, ended);
}

void
ServiceLoad::Close(std::uint16_t aPort, const Attempt& aAttempt)
{
  const std::uint32_t sent = aAttempt.m_requestsSent * kRequestBytes;
  Sent close;
  close.m_flags = kAck | kFin;
  close.m_token = aAttempt.m_token;
  close.m_sequence = 2 + sent;
  close.m_acknowledged = 9 + sent;
  close.m_callerPort = aPort;
  SendToHost(aAttempt.m_group, close);
}

void
ServiceLoad::OnAttemptFailed(std::uint16_t aPort, bool aByHost)
{
  const auto found = m_attempts.find(aPort);
  if (found == m_attempts.end() || found->second.m_isIdle) {
    return;
  }
  const Attempt attempt = found->second;
  m_attempts.erase(found);
  m_counts[attempt.m_group].m_refused += aByHost ? 1 : 0;
  if (attempt.m_isOpen || attempt.m_retriesLeft == 0) {
    ++m_counts[attempt.m_group].m_failed;
    return;
  }
  Begin(attempt.m_group, attempt.m_requestedAt, attempt.m_retriesLeft - 1);
}

} // namespace wasabiloom::tests
