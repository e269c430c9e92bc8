#include "wasabiloom/daemon/FleetLink.h"

#include "wasabiloom/daemon/BufferedLog.h"
#include "wasabiloom/daemon/Clock.h"
#include "wasabiloom/daemon/NewsTiming.h"
#include "wasabiloom/fleet/MessageCodec.h"

namespace wasabiloom::daemon {

namespace {

/// Refused messages are reported no more often.
constexpr base::Duration kReportInterval = std::chrono::seconds(1);

/// The hosts to call first; the host itself is left out.
std::vector<base::Ipv4Address>
FirstPeers(const settings::TokenHostSettings& aSettings)
{
  std::vector<base::Ipv4Address> peers;
  for (const base::Endpoint& peer : aSettings.m_peers) {
    if (peer.m_address != aSettings.m_address) {
      peers.push_back(peer.m_address);
    }
  }
  return peers;
}

} // namespace

FleetLink::FleetLink(const settings::TokenHostSettings& aSettings,
                     fleet::FactPool& aFacts,
                     std::function<void()> aOnLearned)
  : m_settings(aSettings)
  , m_facts(aFacts)
  , m_onLearned(std::move(aOnLearned))
  , m_roster({ aSettings.m_address, aSettings.m_zone, NewIncarnation() },
             NewIncarnation(),
             *this)
  , m_relay(RelayTimingOf(aSettings), m_roster, aFacts, *this)
  , m_first([this](const registry::News& aNews) { OnPulled(aNews); })
  , m_teller([this](const registry::News& aNews) { OnPulled(aNews); })
{
  SetFirstPeers();
}

FleetLink::~FleetLink() = default;

void
FleetLink::SetFirstPeers()
{
  const auto peers = FirstPeers(m_settings);
  m_roster.SetSeeds(peers);
  std::vector<base::Endpoint> endpoints;
  endpoints.reserve(peers.size());
  for (const base::Ipv4Address peer : peers) {
    endpoints.push_back({ peer, m_settings.m_peerPort });
  }
  m_first.SetPeers(endpoints);
}

base::Result<void>
FleetLink::Start(base::Instant aNow)
{
  const base::Endpoint local{ m_settings.m_address, m_settings.m_peerPort };
  BOOST_LEAF_ASSIGN(m_socket, UdpSocket::Bind(local));
  m_notifier = std::make_unique<QSocketNotifier>(m_socket->Descriptor(),
                                                 QSocketNotifier::Read);
  connect(m_notifier.get(), &QSocketNotifier::activated, this, [this] {
    OnReadable();
  });
  AskForFacts(aNow);
  Tick(aNow);
  return {};
}

void
FleetLink::Reload(const settings::TokenHostSettings& aSettings)
{
  m_settings.m_peers = aSettings.m_peers;
  SetFirstPeers();
}

void
FleetLink::AskForFacts(base::Instant aNow)
{
  m_first.Ask(m_facts.Revision(), aNow);
}

void
FleetLink::Tick(base::Instant aNow)
{
  m_roster.Tick(aNow);
  m_relay.Tick(aNow);
}

void
FleetLink::Leave()
{
  m_relay.Leave();
  m_roster.Leave();
}

void
FleetLink::OnPulled(const registry::News& aNews)
{
  m_facts.OnNews(aNews, Now());
  m_onLearned();
}

void
FleetLink::OnReadable()
{
  const base::Instant now = Now();
  for (const Received& datagram : m_socket->Receive()) {
    const std::string_view bytes(
      reinterpret_cast<const char*>(datagram.m_bytes.data()),
      datagram.m_bytes.size());
    base::Handle(
      [&]() -> base::Result<void> {
        BOOST_LEAF_AUTO(message, fleet::DecodeMessage(bytes));
        OnMessage(message, now);
        return {};
      },
      [&](const base::Problem& aProblem) {
        ReportRefused(datagram.m_from, aProblem, now);
      });
  }
}

void
FleetLink::ReportRefused(const base::Endpoint& aFrom,
                         const base::Problem& aProblem,
                         base::Instant aNow)
{
  ++m_refused;
  const bool isFirst = m_refusedReportedAt == base::Instant{};
  if (!isFirst && aNow - m_refusedReportedAt < kReportInterval) {
    return;
  }
  m_refusedReportedAt = aNow;
  LogLine(LogLevel::Warn,
          "fleet",
          "event=message_refused from=" + ToString(aFrom) +
            " total=" + std::to_string(m_refused) + " detail=\"" +
            Describe(aProblem) + "\"");
}

void
FleetLink::OnMessage(const fleet::Message& aMessage, base::Instant aNow)
{
  m_roster.OnMessage(aMessage, aNow);
  if (const auto* news = std::get_if<registry::News>(&aMessage.m_content)) {
    m_relay.OnNews(aMessage.m_sender.m_address, *news, aNow);
    m_onLearned();
  }
}

void
FleetLink::SendTo(base::Ipv4Address aTo, const fleet::Message& aMessage)
{
  SendBytes(aTo, fleet::EncodeMessage(aMessage));
}

void
FleetLink::SendNews(const std::vector<base::Ipv4Address>& aTo,
                    const registry::News& aNews)
{
  const std::string bytes = fleet::EncodeMessage(m_roster.Compose(aNews));
  for (const base::Ipv4Address peer : aTo) {
    SendBytes(peer, bytes);
  }
}

void
FleetLink::SendBytes(base::Ipv4Address aTo, const std::string& aBytes)
{
  if (m_socket) {
    m_socket->Send(aBytes, { aTo, m_settings.m_peerPort });
  }
}

void
FleetLink::Pull(base::Ipv4Address aFrom, std::uint64_t aRevision)
{
  if (m_tellerAddress != aFrom) {
    m_tellerAddress = aFrom;
    m_teller.SetPeers({ { aFrom, m_settings.m_peerPort } });
  }
  m_teller.Ask(aRevision, Now());
}

void
FleetLink::OnStanding(const fleet::Member& aMember)
{
  // What is far away changes none of this host's duties.
  const bool isNear = aMember.m_zone == m_settings.m_zone;
  LogLine(isNear ? LogLevel::Info : LogLevel::Debug,
          "fleet",
          "event=member address=" + ToString(aMember.m_address) +
            " zone=" + aMember.m_zone +
            " standing=" + std::string(ToString(aMember.m_standing)) +
            " incarnation=" + std::to_string(aMember.m_incarnation) +
            " rank=" + std::to_string(m_roster.RankInZone()) +
            " live=" + std::to_string(m_roster.LiveCount()));
}

} // namespace wasabiloom::daemon
