#include "wasabiloom/daemon/CoreTask.h"

#include "wasabiloom/daemon/Clock.h"
#include "wasabiloom/daemon/Log.h"
#include "wasabiloom/packet/IpWriter.h"
#include "wasabiloom/wire/EnvelopeCodec.h"
#include "wasabiloom/wire/PeerCodec.h"

namespace wasabiloom::daemon {

namespace {

constexpr int kBatchesPerWakeup = 8;
constexpr std::size_t kMaxPeerDatagram = 1400;
constexpr base::Duration kRefusalReportInterval = std::chrono::seconds(1);
constexpr base::Duration kQuietBeforeStop = std::chrono::seconds(1);
constexpr base::Duration kLongestLeave = std::chrono::seconds(30);

std::span<const std::byte>
AsBytes(std::string_view aText)
{
  return std::as_bytes(std::span(aText.data(), aText.size()));
}

std::string_view
AsText(std::span<const std::byte> aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

core::HostIdentity
MakeIdentity(const settings::HostSettings& aSettings)
{
  return { aSettings.m_name,
           aSettings.m_zone,
           NewIncarnation(),
           aSettings.m_trustedKeys };
}

} // namespace

CoreTask::CoreTask(const settings::HostSettings& aSettings,
                   LargeMessageSender& aSender)
  : m_settings(aSettings)
  , m_sender(aSender)
  , m_core(MakeIdentity(aSettings), *this)
  , m_probes([this](const steering::ServiceId& aService,
                    const health::TargetReport& aReport) {
    m_core.OnReport(aService, aReport, Now());
  })
{
}

CoreTask::~CoreTask() = default;

base::Result<void>
CoreTask::Open(Port& aPort,
               std::uint16_t aNumber,
               void (CoreTask::*aOnReadable)())
{
  BOOST_LEAF_ASSIGN(aPort.m_socket,
                    UdpSocket::Bind({ m_settings.m_address, aNumber }));
  aPort.m_notifier = std::make_unique<QSocketNotifier>(
    aPort.m_socket->Descriptor(), QSocketNotifier::Read);
  connect(aPort.m_notifier.get(),
          &QSocketNotifier::activated,
          this,
          [this, aOnReadable] { (this->*aOnReadable)(); });
  return {};
}

base::Result<void>
CoreTask::Start()
{
  const settings::Ports& ports = m_settings.m_ports;
  BOOST_LEAF_CHECK(
    Open(m_fabric, ports.m_packets, &CoreTask::OnFabricReadable));
  m_path = std::make_unique<PacketPath>(
    *m_fabric.m_socket,
    m_core,
    [this](base::ResultCode aCode, const base::Endpoint& aFrom) {
      NoteRefusal(aCode, aFrom);
    });
  BOOST_LEAF_CHECK(Open(m_relay, ports.m_relay, &CoreTask::OnRelayReadable));
  BOOST_LEAF_CHECK(Open(m_peer, ports.m_peer, &CoreTask::OnPeerReadable));
  BOOST_LEAF_CHECK(
    Open(m_requests, ports.m_requests, &CoreTask::OnBackendReadable));
  m_timer.setTimerType(Qt::PreciseTimer);
  connect(&m_timer, &QTimer::timeout, this, [this] { OnTick(); });
  using std::chrono::milliseconds;
  m_timer.start(std::chrono::duration_cast<milliseconds>(core::kTickInterval));
  return {};
}

// --- packets ----------------------------------------------------------------

void
CoreTask::OnFabricReadable()
{
  const base::Instant now = Now();
  m_lastPacketAt = now;
  for (int batch = 0; batch < kBatchesPerWakeup; ++batch) {
    if (m_path->CarryBatch(now) < kBatchSize) {
      return;
    }
  }
}

void
CoreTask::OnRelayReadable()
{
  const base::Instant now = Now();
  for (const Received& datagram : m_relay.m_socket->Receive()) {
    const auto peer = m_hostsByAddress.find(datagram.m_from.m_address);
    if (peer == m_hostsByAddress.end()) {
      NoteRefusal(base::ResultCode::PeerUnknown, datagram.m_from);
      continue;
    }
    m_path->Carry(datagram,
                  m_core.OnRelayedPacket(datagram.m_bytes, peer->second, now));
  }
  m_path->Flush();
}

void
CoreTask::OnBackendReadable()
{
  const base::Instant now = Now();
  for (const Received& datagram : m_requests.m_socket->Receive()) {
    base::Handle(
      [&]() -> base::Result<void> {
        BOOST_LEAF_AUTO(envelope, wire::DecodeEnvelope(datagram.m_bytes));
        m_core.OnBackend(envelope, now);
        return {};
      },
      [&](const base::Problem& aProblem) {
        NoteRefusal(aProblem.m_code, datagram.m_from);
      });
  }
}

// --- peers ------------------------------------------------------------------

void
CoreTask::OnPeerReadable()
{
  for (const Received& datagram : m_peer.m_socket->Receive()) {
    OnPeerBytes(AsText(datagram.m_bytes), datagram.m_from);
  }
}

void
CoreTask::OnPeerBytes(std::string_view aBytes, const base::Endpoint& aFrom)
{
  base::Handle(
    [&]() -> base::Result<void> {
      BOOST_LEAF_AUTO(datagram, wire::DecodePeer(aBytes));
      m_core.OnPeer(datagram, Now());
      return {};
    },
    [&](const base::Problem& aProblem) {
      NoteRefusal(aProblem.m_code, aFrom);
    });
}

void
CoreTask::SendPeer(const base::Endpoint& aTo, const peer::Datagram& aDatagram)
{
  std::string bytes = wire::EncodePeer(aDatagram);
  if (bytes.size() <= kMaxPeerDatagram) {
    m_peer.m_socket->Send(bytes, aTo);
    return;
  }
  const base::Endpoint control{ aTo.m_address, m_settings.m_ports.m_control };
  m_sender.Send(control, std::move(bytes));
}

// --- requests ---------------------------------------------------------------

void
CoreTask::SendToBackend(const base::Endpoint& aTo,
                        const request::Envelope& aEnvelope)
{
  m_requests.m_socket->Send(wire::EncodeEnvelope(aEnvelope), aTo);
}

void
CoreTask::SendToCaller(const packet::FlowKey& aFlow,
                       const request::Envelope& aEnvelope)
{
  const std::string payload = wire::EncodeEnvelope(aEnvelope);
  const auto bytes = packet::WriteUdp(
    aFlow.m_service.m_endpoint, aFlow.m_caller, AsBytes(payload));
  const base::Endpoint to{ aFlow.m_caller.m_address,
                           m_settings.m_ports.m_return };
  m_fabric.m_socket->Send(AsText(bytes), to);
}

void
CoreTask::ProbeTarget(const steering::ServiceId& aService,
                      const steering::TargetId& aTarget,
                      const base::Endpoint& aStatus)
{
  m_probes.Probe(aService, aTarget, aStatus);
}

// --- logs -------------------------------------------------------------------

void
CoreTask::LogRequestDecision(const request::RequestDecision& aDecision)
{
  daemon::LogRequest(aDecision);
}

void
CoreTask::LogFlow(const core::FlowDecision& aDecision)
{
  daemon::LogFlow(aDecision);
}

void
CoreTask::LogEvent(const core::HostEvent& aEvent)
{
  daemon::LogEvent(aEvent);
}

void
CoreTask::NoteRefusal(base::ResultCode aCode, const base::Endpoint& aFrom)
{
  auto& [count, last] = m_refusals[aCode];
  ++count;
  last = aFrom;
}

/// Logs refused inputs, at most one line per result code and second.
void
CoreTask::ReportRefusals(base::Instant aNow)
{
  if (m_refusals.empty() || aNow - m_reportedAt < kRefusalReportInterval) {
    return;
  }
  m_reportedAt = aNow;
  for (const auto& [code, refusal] : m_refusals) {
    const auto& [count, last] = refusal;
    daemon::LogEvent({ "input_refused",
                       code,
                       std::string(ToString(code)) +
                         " count=" + std::to_string(count) +
                         " last_from=" + ToString(last) });
  }
  m_refusals.clear();
}

// --- other tasks ------------------------------------------------------------

void
CoreTask::Post(std::function<void(core::HostCore&, base::Instant)> aWork)
{
  QMetaObject::invokeMethod(
    this,
    [this, work = std::move(aWork)] { work(m_core, Now()); },
    Qt::QueuedConnection);
}

void
CoreTask::PostBundle(std::string aSigned)
{
  Post([bytes = std::move(aSigned)](core::HostCore& aCore, base::Instant aNow) {
    base::Handle(
      [&]() -> base::Result<void> { return aCore.OnBundle(bytes, aNow); },
      [&](const base::Problem& aProblem) {
        daemon::LogEvent(
          { "bundle_refused", aProblem.m_code, aProblem.m_detail });
      });
  });
}

void
CoreTask::PostHostList(core::HostList aList)
{
  Post(
    [this, list = std::move(aList)](core::HostCore& aCore, base::Instant aNow) {
      m_hostsByAddress.clear();
      for (const peer::PeerAddress& host : list.m_hosts) {
        m_hostsByAddress[host.m_peer.m_address] = base::MakeHostId(host.m_name);
      }
      aCore.OnHostList(list, aNow);
    });
}

void
CoreTask::PostPeerFrame(std::string aBytes)
{
  Post([this, bytes = std::move(aBytes)](core::HostCore& /*aCore*/,
                                         base::Instant /*aNow*/) {
    OnPeerBytes(bytes, {});
  });
}

// --- time -------------------------------------------------------------------

void
CoreTask::OnTick()
{
  const base::Instant now = Now();
  m_core.OnTick(now);
  ReportRefusals(now);
  if (m_onStopped) {
    ContinueLeave(now);
  }
}

void
CoreTask::BeginLeave(std::function<void()> aOnStopped)
{
  m_leaveSince = Now();
  m_onStopped = std::move(aOnStopped);
  m_core.BeginLeave(m_leaveSince);
}

void
CoreTask::ContinueLeave(base::Instant aNow)
{
  const bool quiet = aNow - m_lastPacketAt >= kQuietBeforeStop &&
                     aNow - m_leaveSince >= kQuietBeforeStop;
  const bool overdue = aNow - m_leaveSince >= kLongestLeave;
  if ((quiet && m_core.IsDrained()) || overdue) {
    m_core.FinishLeave(aNow);
    m_timer.stop();
    const auto onStopped = std::move(m_onStopped);
    m_onStopped = nullptr;
    onStopped();
  }
}

} // namespace wasabiloom::daemon
