#include "wasabiloom/daemon/TokenHostTask.h"

#include "wasabiloom/daemon/BufferedLog.h"
#include "wasabiloom/daemon/Clock.h"
#include "wasabiloom/daemon/UpdateTiming.h"

namespace wasabiloom::daemon {

namespace {

using registry::ReaderCall;

constexpr std::chrono::milliseconds kTick{ 50 };

/// Tick interval until the host is ready. Callers wait for it.
constexpr std::chrono::milliseconds kTickUnready{ 10 };

/// Minimum time for which a stopping host runs, so that the fabric can take it
/// out of rotation.
constexpr base::Duration kLeaveAtLeast = std::chrono::milliseconds(1500);

/// Time without packets after which a stopping host ends.
constexpr base::Duration kLeaveQuiet = std::chrono::milliseconds(700);

/// Time before the end of the grace period at which a stopping host ends.
constexpr base::Duration kLeaveMargin = std::chrono::milliseconds(700);

constexpr base::Duration kReportInterval = std::chrono::seconds(1);

/// Time without a response of the registry after which a host asks its peers.
constexpr base::Duration kCutOffAfter = std::chrono::milliseconds(600);

constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

/// Share of a bound that the host's own delays may take: kBoundUsed parts of
/// kBoundParts.
constexpr int kBoundParts = 8;
constexpr int kBoundUsed = 7;

token::TokenHostIdentity
IdentityOf(const settings::TokenHostSettings& aSettings)
{
  return {
    aSettings.m_name,
    aSettings.m_zone,
    aSettings.m_packets.m_port,
    aSettings.m_zoneOut * kBoundUsed / kBoundParts,
    { aSettings.m_zoneBalance, aSettings.m_admission, aSettings.m_slowStart }
  };
}

} // namespace

TokenHostTask::TokenHostTask(const settings::TokenHostSettings& aSettings,
                             const TokenHostAdapter& aAdapter,
                             LineBuffer& aLog)
  : m_settings(aSettings)
  , m_adapter(aAdapter)
  , m_log(aLog)
  , m_host(IdentityOf(aSettings),
           ReaderTimingOf(aSettings),
           NewIncarnation(),
           aAdapter.m_codec,
           *this)
  , m_factsEndpoint(m_host)
  , m_fleet(m_settings, m_host, m_host, [this] { NoteReady(); })
  , m_server(
      [this](const std::string& aPath, const HttpServer::Responder& aReply) {
        aReply(Answer(aPath));
      })
{
  m_timer.setInterval(kTickUnready);
  connect(&m_timer, &QTimer::timeout, this, [this] { OnTick(); });
}

TokenHostTask::~TokenHostTask() = default;

base::Result<void>
TokenHostTask::Start()
{
  m_startedAt = Now();
  BOOST_LEAF_CHECK(m_fleet.Start(m_startedAt));
  MakeCall(m_startedAt);
  BOOST_LEAF_ASSIGN(m_socket, UdpSocket::Bind(m_settings.m_packets));
  m_notifier = std::make_unique<QSocketNotifier>(m_socket->Descriptor(),
                                                 QSocketNotifier::Read);
  connect(m_notifier.get(), &QSocketNotifier::activated, this, [this] {
    OnReadable();
  });
  BOOST_LEAF_CHECK(m_server.Listen(m_settings.m_readiness));
  BOOST_LEAF_CHECK(
    m_server.Listen({ m_settings.m_address, m_settings.m_peerPort }));
  if (m_settings.m_metricsPort != 0) {
    BOOST_LEAF_CHECK(
      m_server.Listen({ m_settings.m_address, m_settings.m_metricsPort }));
  }
  m_timer.start();
  return {};
}

void
TokenHostTask::Reload(const settings::TokenHostSettings& aSettings)
{
  settings::TokenHostSettings changed = m_settings;
  changed.m_zoneOut = aSettings.m_zoneOut;
  changed.m_stopGrace = aSettings.m_stopGrace;
  changed.m_peers = aSettings.m_peers;
  changed.m_logLevel = aSettings.m_logLevel;
  changed.m_logBytesPerSecond = aSettings.m_logBytesPerSecond;
  const bool isWhole = changed == aSettings;
  m_settings = changed;
  m_fleet.Reload(m_settings);
  m_host.SetZoneOutGrace(IdentityOf(m_settings).m_zoneOutGrace);
  SetUpBufferedLog(m_settings.m_logLevel, m_log);
  m_log.SetAllowance(m_settings.m_logBytesPerSecond);
  LogLine(isWhole ? LogLevel::Info : LogLevel::Warn,
          "host",
          std::string("event=reloaded whole=") + (isWhole ? "1" : "0"));
}

void
TokenHostTask::BeginLeave(std::function<void()> aOnStopped)
{
  m_onStopped = std::move(aOnStopped);
  m_leaveSince = Now();
  m_fleet.Leave();
  LogLine(LogLevel::Info,
          "host",
          "event=stopping flows=" + std::to_string(m_host.FlowCount()));
}

void
TokenHostTask::ContinueLeave(base::Instant aNow)
{
  const base::Duration since = aNow - m_leaveSince;
  const bool quiet = aNow - m_packetAt > kLeaveQuiet;
  const bool late = since > m_settings.m_stopGrace - kLeaveMargin;
  if (late || (since > kLeaveAtLeast && quiet)) {
    LogLine(LogLevel::Info,
            "host",
            "event=stopped after_ms=" +
              std::to_string(base::Milliseconds(since)));
    const auto onStopped = std::move(m_onStopped);
    m_onStopped = nullptr;
    onStopped();
  }
}

void
TokenHostTask::OnReadable()
{
  const base::Instant now = Now();
  m_packetAt = now;
  const auto datagrams = m_socket->Receive();
  for (const Received& datagram : datagrams) {
    m_host.OnPacket(datagram.m_bytes, now);
  }
  m_metrics.ObserveBatch(Now() - now);
}

void
TokenHostTask::OnTick()
{
  const base::Instant now = Now();
  m_host.OnTick(now);
  m_fleet.Tick(m_host.IsRegistryUnreachable(kCutOffAfter, now), now);
  m_host.SetZoneHosts(m_fleet.ZonePosition(), now);
  UpdateServing(now);
  MakeCall(now);
  ReportMalformed(now);
  if (m_onStopped) {
    ContinueLeave(now);
  }
  m_log.Refill(now);
  m_log.Flush();
}

void
TokenHostTask::UpdateServing(base::Instant aNow)
{
  if (!m_host.IsReady()) {
    return;
  }
  m_fleet.WatchOtherZones(m_host.DependsOnOtherZones(aNow));
  m_host.UpdateServing(m_fleet.OtherZonesSilentFor(), aNow);
}

void
TokenHostTask::MakeCall(base::Instant aNow)
{
  const ReaderCall call = m_host.NextCall(aNow);
  const auto finish = [this, aNow] {
    const base::Instant now = Now();
    m_metrics.ObserveCall(now - aNow);
    NoteReady();
    m_fleet.RelayUpdates(now);
    MakeCall(now);
  };
  switch (call.m_kind) {
    case ReaderCall::Kind::None:
      return;
    case ReaderCall::Kind::List:
      m_adapter.m_registry.List(
        call.m_afterKey,
        call.m_mayBeStale,
        call.m_timeout,
        [this, finish](const registry::ListResult& aAnswer) {
          m_host.OnListAnswer(aAnswer, Now());
          finish();
        });
      return;
    case ReaderCall::Kind::Watch:
      m_adapter.m_registry.Watch(
        call.m_revision,
        call.m_wait,
        call.m_timeout,
        [this, finish](const registry::WatchResult& aAnswer) {
          m_host.OnWatchAnswer(aAnswer, Now());
          finish();
        });
      return;
  }
}

void
TokenHostTask::NoteReady()
{
  if (m_wasReady || !m_host.IsReady()) {
    return;
  }
  m_wasReady = true;
  m_timer.setInterval(kTick);
  LogLine(LogLevel::Info,
          "host",
          "event=ready after_ms=" +
            std::to_string(base::Milliseconds(Now() - m_startedAt)));
}

HttpReply
TokenHostTask::Answer(const std::string& aPath)
{
  if (aPath == m_adapter.m_readinessPath) {
    const bool ready = m_host.IsReady() && m_host.CanServe() && !m_onStopped;
    return { ready ? 200 : kUnavailable, "text/plain", ready ? "ready\n" : "" };
  }
  if (aPath == "/metrics") {
    return { 200,
             "text/plain; version=0.0.4",
             m_metrics.Write(m_host, m_fleet.GetLoadTotals(), Now()) };
  }
  if (aPath.starts_with(kFactsPath)) {
    return m_factsEndpoint.Answer(aPath, Now());
  }
  return { kNotFound, "text/plain", "" };
}

void
TokenHostTask::Send(const base::Endpoint& aTo,
                    std::span<const std::byte> aBytes)
{
  m_socket->Send(
    { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() }, aTo);
}

void
TokenHostTask::LogDecision(const token::Decision& aDecision)
{
  if (!IsLogged(LogLevel::Info)) {
    return;
  }
  std::string line = "event=flow action=";
  line += ToString(aDecision.m_action);
  line += " reason=";
  line += ToString(aDecision.m_reason);
  line += " caller=" + ToString(aDecision.m_flow.m_caller);
  line += " route=" + ToString(aDecision.m_flow.m_service.m_endpoint);
  line += " service=";
  line += aDecision.m_service.empty() ? "-" : aDecision.m_service;
  line += " server=";
  line += aDecision.m_server.empty() ? "-" : aDecision.m_server;
  line += " token=" + std::to_string(aDecision.m_token);
  line += " copy=" + std::to_string(aDecision.m_copy);
  line += " version=" + std::to_string(aDecision.m_version);
  line += " revision=" + std::to_string(aDecision.m_revision);
  line += " age_ms=" + std::to_string(base::Milliseconds(aDecision.m_age));
  LogLine(LogLevel::Info, "flow", line);
}

void
TokenHostTask::LogStateChange(std::string_view aWhat,
                              const std::string& aDetail)
{
  LogLine(
    LogLevel::Info, "belief", "event=" + std::string(aWhat) + " " + aDetail);
}

void
TokenHostTask::LogDetail(std::string_view aWhat, const std::string& aDetail)
{
  LogLine(
    LogLevel::Debug, "belief", "event=" + std::string(aWhat) + " " + aDetail);
}

bool
TokenHostTask::LogsDetails() const
{
  return IsLogged(LogLevel::Debug);
}

void
TokenHostTask::ReportMalformed(base::Instant aNow)
{
  const std::uint64_t total = m_host.GetTotals().m_malformed;
  if (total == m_malformedReported || aNow - m_reportedAt < kReportInterval) {
    return;
  }
  LogLine(LogLevel::Warn,
          "flow",
          "event=malformed_packets count=" +
            std::to_string(total - m_malformedReported) +
            " total=" + std::to_string(total));
  m_malformedReported = total;
  m_reportedAt = aNow;
}

} // namespace wasabiloom::daemon
