#include "wasabiloom/daemon/FleetLink.h"

#include "wasabiloom/daemon/BufferedLog.h"
#include "wasabiloom/daemon/Clock.h"
#include "wasabiloom/daemon/UpdateTiming.h"
#include "wasabiloom/fleet/MessageCodec.h"

namespace wasabiloom::daemon {

namespace {

/// Minimum interval between log lines on refused messages, and on members.
constexpr base::Duration kReportInterval = std::chrono::seconds(1);

/// Time after a host became ready after which a start of the whole fleet is
/// complete.
constexpr base::Duration kSettled = std::chrono::seconds(3);

/// Maximum number of members named in one log line.
constexpr std::size_t kNamed = 6;

/// Returns the seeds of the settings without the host itself.
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
                     fleet::LocalFacts& aFacts,
                     fleet::LocalLoad& aLoad,
                     std::function<void()> aOnLearned)
  : m_settings(aSettings)
  , m_facts(aFacts)
  , m_onLearned(std::move(aOnLearned))
  , m_membership({ aSettings.m_address,
                   aSettings.m_zone,
                   NewIncarnation(),
                   fleet::MemberState::Alive,
                   CapacityOf(aSettings) },
                 NewIncarnation(),
                 *this)
  , m_reachability(NewIncarnation(), m_membership)
  , m_relay(RelayTimingOf(aSettings),
            NewIncarnation(),
            m_membership,
            aFacts,
            *this)
  , m_directory(*this)
  , m_search(NewIncarnation(), m_membership, aFacts, *this)
  , m_loadExchange(aSettings.m_loadReportInterval,
                   NewIncarnation(),
                   m_membership,
                   aLoad,
                   *this)
  , m_peerFacts(
      [this](const registry::RegistryUpdate& aUpdate) { OnPulled(aUpdate); },
      [this] { m_search.OnPullFailed(Now()); })
{
  SetFirstPeers();
}

FleetLink::~FleetLink() = default;

void
FleetLink::SetFirstPeers()
{
  const auto peers = FirstPeers(m_settings);
  m_membership.SetSeeds(peers);
  m_search.SetSeedHosts(peers);
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
  m_search.Begin(aNow);
  m_relay.Tick(aNow);
  return {};
}

void
FleetLink::Reload(const settings::TokenHostSettings& aSettings)
{
  m_settings.m_peers = aSettings.m_peers;
  SetFirstPeers();
}

void
FleetLink::Tick(bool aIsCutOff, base::Instant aNow)
{
  m_membership.Tick(aNow);
  m_reachability.Tick(aNow);
  m_relay.Tick(aNow);
  m_search.Tick(aIsCutOff, aNow);
  m_loadExchange.Tick(aNow);
  if (m_facts.IsReady()) {
    RegisterProviders(aNow);
  }
  m_directory.SetAwaitsConfiguration(m_facts.HasListed() && !m_facts.IsReady());
  m_directory.Tick(aNow);
  ReportMembers(aNow);
}

void
FleetLink::RegisterProviders(base::Instant aNow)
{
  if (m_readySince == base::Instant{}) {
    m_readySince = aNow;
  }
  m_directory.OnFactsKnown(m_membership.Self(), aNow);
  if (m_directory.WaitingCount() == 0 || aNow - m_readySince < kSettled) {
    return;
  }
  // Once the start is complete, members with enough capacity are assumed to
  // have the facts.
  for (const auto& [zone, members] : m_membership.LiveByZone()) {
    for (const fleet::Member* member : members) {
      if (member->m_capacity >= fleet::kMinListingCapacity) {
        m_directory.OnFactsKnown(*member, aNow);
      }
    }
  }
}

placing::HostPosition
FleetLink::ZonePosition() const
{
  const auto& zones = m_membership.LiveByZone();
  const auto zone = zones.find(m_settings.m_zone);
  const std::size_t others = zone == zones.end() ? 0 : zone->second.size();
  return { static_cast<std::uint32_t>(others + 1),
           static_cast<std::uint32_t>(m_membership.RankInZone()) };
}

void
FleetLink::Leave()
{
  m_relay.Leave();
  m_membership.Leave();
}

void
FleetLink::OnPulled(const registry::RegistryUpdate& aUpdate)
{
  const base::Instant now = Now();
  m_facts.OnPeerUpdate(aUpdate, now);
  m_relay.OnPullFinished(now);
  m_search.Tick(false, now);
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
  const base::Ipv4Address from = aMessage.m_sender.m_address;
  m_membership.OnMessage(aMessage, aNow);
  m_reachability.OnMessage(aMessage);
  if (const auto* update =
        std::get_if<fleet::RelayedUpdate>(&aMessage.m_content)) {
    m_relay.OnRelayedUpdate(from, *update, aNow);
    m_onLearned();
  } else if (const auto* providers =
               std::get_if<fleet::Providers>(&aMessage.m_content)) {
    m_search.OnProviders(*providers, aNow);
  } else if (std::holds_alternative<fleet::FactsWanted>(aMessage.m_content)) {
    m_directory.OnFactsWanted(aMessage.m_sender, aNow);
  } else if (std::holds_alternative<fleet::FactsKnown>(aMessage.m_content)) {
    m_directory.OnFactsKnown(aMessage.m_sender, aNow);
  } else if (std::holds_alternative<fleet::RegistrySilent>(
               aMessage.m_content)) {
    m_relay.OnRegistrySilent(from, aNow);
  } else if (const auto* report =
               std::get_if<fleet::LoadReport>(&aMessage.m_content)) {
    m_loadExchange.OnReport(aMessage.m_sender, *report, aNow);
  }
}

void
FleetLink::SendTo(base::Ipv4Address aTo, const fleet::Message& aMessage)
{
  if (m_socket) {
    m_socket->Send(fleet::EncodeMessage(aMessage),
                   { aTo, m_settings.m_peerPort });
  }
}

void
FleetLink::SendContent(base::Ipv4Address aTo, const fleet::Content& aContent)
{
  SendTo(aTo, m_membership.Compose(aContent));
}

void
FleetLink::SendUpdates(const std::vector<fleet::RelayCopy>& aCopies)
{
  fleet::Message message = m_membership.Compose(fleet::MemberList{});
  for (const fleet::RelayCopy& copy : aCopies) {
    message.m_content = copy.m_update;
    SendTo(copy.m_to, message);
  }
}

void
FleetLink::SendRegistrySilent(const std::vector<base::Ipv4Address>& aTo)
{
  for (const base::Ipv4Address to : aTo) {
    SendContent(to, fleet::RegistrySilent{});
  }
}

void
FleetLink::SendProviders(base::Ipv4Address aTo,
                         const fleet::Providers& aProviders)
{
  SendContent(aTo, aProviders);
}

void
FleetLink::SendLoad(base::Ipv4Address aTo, const fleet::Message& aMessage)
{
  SendTo(aTo, aMessage);
}

void
FleetLink::Pull(base::Ipv4Address aFrom,
                const registry::RegistryRevision& aRevision)
{
  m_peerFacts.Ask({ aFrom, m_settings.m_peerPort }, aRevision);
}

void
FleetLink::PullInitialFacts(base::Ipv4Address aFrom,
                            const registry::RegistryRevision& aRevision)
{
  Pull(aFrom, aRevision);
}

void
FleetLink::OnMemberState(const fleet::Member& aMember)
{
  m_changedMembers[aMember.m_state].push_back(aMember.m_address);
}

void
FleetLink::ReportMembers(base::Instant aNow)
{
  if (aNow - m_membersReportedAt < kReportInterval) {
    return;
  }
  m_membersReportedAt = aNow;
  for (const auto& [standing, addresses] : m_changedMembers) {
    std::string line =
      "event=members standing=" + std::string(ToString(standing)) +
      " count=" + std::to_string(addresses.size()) +
      " rank=" + std::to_string(m_membership.RankInZone()) +
      " live=" + std::to_string(m_membership.LiveCount()) + " addresses=";
    for (std::size_t i = 0; i < std::min(addresses.size(), kNamed); ++i) {
      line += i == 0 ? "" : ",";
      line += ToString(addresses[i]);
    }
    LogLine(LogLevel::Info, "fleet", line);
  }
  m_changedMembers.clear();
}

} // namespace wasabiloom::daemon
