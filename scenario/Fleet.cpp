#include "Fleet.h"

#include "FleetHost.h"

#include <algorithm>
#include <deque>

namespace wasabiloom::scenario {

namespace {

using std::chrono::milliseconds;

constexpr base::Duration kFabricNotices = milliseconds(1000);
constexpr base::Duration kFabricLearnsLeave = milliseconds(500);
constexpr base::Duration kLeaveQuiet = milliseconds(1500);
constexpr base::Duration kLeastConfigDelay = milliseconds(20);
constexpr base::Duration kMostConfigDelay = milliseconds(200);
constexpr base::Duration kLeastCallerDelay = milliseconds(1);
constexpr base::Duration kMostCallerDelay = milliseconds(3);

} // namespace

FleetListener::~FleetListener() = default;

Fleet::Fleet(const Script& aScript,
             Policy aPolicy,
             const Site& aSite,
             EventQueue& aQueue,
             Measures& aMeasures,
             std::uint64_t aSeed)
  : m_script(aScript)
  , m_policy(aPolicy)
  , m_site(aSite)
  , m_queue(aQueue)
  , m_measures(aMeasures)
  , m_random(aSeed)
  , m_links(aScript.m_link, m_random)
{
  for (int i = 0; i < aScript.m_hosts; ++i) {
    m_hosts.push_back(std::make_unique<Host>(*this, i));
  }
}

Fleet::~Fleet() = default;

void
Fleet::Spray(const TravellingPacket& aPacket)
{
  if (m_fabric.empty()) {
    m_listener->OnLost(aPacket, "no host");
    return;
  }
  SprayOnce(aPacket);
  if (m_duplication > 0 &&
      std::uniform_real_distribution<double>(0, 1)(m_random) < m_duplication) {
    SprayOnce(aPacket);
  }
}

void
Fleet::SprayOnce(const TravellingPacket& aPacket)
{
  std::uniform_int_distribution<std::size_t> pick(0, m_fabric.size() - 1);
  const int host = m_fabric[pick(m_random)];
  m_queue.After(CallerDelay(), [this, host, aPacket] {
    DeliverPacket(host, aPacket, base::HostId{});
  });
}

void
Fleet::DeliverPacket(int aHost,
                     const TravellingPacket& aPacket,
                     base::HostId aFrom)
{
  Host& host = *m_hosts[static_cast<std::size_t>(aHost)];
  if (!host.m_process) {
    m_listener->OnLost(aPacket, "host down");
    return;
  }
  Run(aHost,
      [this, aHost, aPacket, aFrom] { HandlePacket(aHost, aPacket, aFrom); });
}

void
Fleet::HandlePacket(int aHost,
                    const TravellingPacket& aPacket,
                    base::HostId aFrom)
{
  Host& host = *m_hosts[static_cast<std::size_t>(aHost)];
  const auto now = m_queue.Now();
  const core::PacketDecision decision =
    aFrom.m_value == 0
      ? host.m_process->OnPacket(*aPacket.m_bytes, now)
      : host.m_process->OnRelayedPacket(*aPacket.m_bytes, aFrom, now);
  m_measures.Count("packets");
  if (m_trace.Follows(aPacket.m_tag / kTagKinds)) {
    m_trace.Print(HostName(aHost) + " packet kind " +
                    std::to_string(aPacket.m_tag % kTagKinds) + " action " +
                    std::to_string(static_cast<int>(decision.m_action)) +
                    " to " + ToString(decision.m_to) + " code " +
                    std::to_string(static_cast<int>(decision.m_code)),
                  now);
  }
  switch (decision.m_action) {
    case core::PacketAction::Forward:
      m_listener->OnForwarded(aPacket, decision.m_to, HostName(aHost));
      break;
    case core::PacketAction::Relay: {
      m_measures.Count("packets_relayed");
      const int to = HostAt(decision.m_to.m_address);
      if (!m_links.Carries(aHost, to)) {
        m_listener->OnLost(aPacket, "relay lost");
        break;
      }
      const base::HostId from = base::MakeHostId(HostName(aHost));
      m_queue.After(m_links.Delay(), [this, to, aPacket, from] {
        DeliverPacket(to, aPacket, from);
      });
      break;
    }
    case core::PacketAction::Drop:
      m_listener->OnLost(aPacket,
                         "refused " + std::string(ToString(decision.m_code)));
      break;
    case core::PacketAction::Consumed:
      break;
  }
}

void
Fleet::SendToHost(int aHost, const request::Envelope& aEnvelope)
{
  Run(aHost, [this, aHost, aEnvelope] {
    m_hosts[static_cast<std::size_t>(aHost)]->m_process->OnBackend(
      aEnvelope, m_queue.Now());
  });
}

void
Fleet::SendReport(int aHost,
                  const steering::ServiceId& aService,
                  const health::TargetReport& aReport)
{
  Run(aHost, [this, aHost, aService, aReport] {
    m_hosts[static_cast<std::size_t>(aHost)]->m_process->OnReport(
      aService, aReport, m_queue.Now());
  });
}

void
Fleet::SendPeer(int aFrom,
                const base::Endpoint& aTo,
                const peer::Datagram& aDatagram)
{
  m_hosts[static_cast<std::size_t>(aFrom)]->m_account.Add(aDatagram,
                                                          m_queue.Now());
  const int to = HostAt(aTo.m_address);
  if (m_trace.IsStarted()) {
    m_trace.PrintMessage(
      HostName(aFrom), HostName(to), aDatagram.m_message, m_queue.Now());
  }
  if (!m_links.Carries(aFrom, to)) {
    return;
  }
  m_queue.After(m_links.Delay(), [this, to, aDatagram] {
    Run(to, [this, to, aDatagram] {
      m_hosts[static_cast<std::size_t>(to)]->m_process->OnPeer(aDatagram,
                                                               m_queue.Now());
    });
  });
}

/// Runs `aAction` on a host's process, or keeps it while the host is paused.
void
Fleet::Run(int aHost, const EventQueue::Action& aAction)
{
  Host& host = *m_hosts[static_cast<std::size_t>(aHost)];
  if (!host.m_process) {
    return;
  }
  if (host.m_paused) {
    host.m_inbox.push_back(aAction);
    return;
  }
  aAction();
}

int
Fleet::HostAt(const base::Ipv4Address& aAddress) const
{
  for (int i = 0; i < Size(); ++i) {
    if (HostAddress(i) == aAddress) {
      return i;
    }
  }
  return -1;
}

base::Duration
Fleet::CallerDelay()
{
  return RandomBetween(m_random, kLeastCallerDelay, kMostCallerDelay);
}

/// Runs `aAction` on a host once the platform has reached it.
void
Fleet::DeliverLater(int aHost, const EventQueue::Action& aAction)
{
  const auto lag = m_hosts[static_cast<std::size_t>(aHost)]->m_lag;
  const auto delay =
    RandomBetween(m_random, kLeastConfigDelay, kMostConfigDelay);
  m_queue.After(delay + lag, [this, aHost, aAction] {
    if (m_platformUp) {
      Run(aHost, aAction);
    }
  });
}

void
Fleet::DeliverBundle(int aHost)
{
  m_measures.Count("config_reads");
  DeliverLater(aHost, [this, aHost, bytes = m_site.SignedBundle()] {
    m_hosts[static_cast<std::size_t>(aHost)]->m_process->OnBundle(
      bytes, m_queue.Now());
  });
}

void
Fleet::DeliverList(int aHost)
{
  DeliverLater(aHost, [this, aHost, list = m_site.List()] {
    m_hosts[static_cast<std::size_t>(aHost)]->m_process->OnHostList(
      list, m_queue.Now());
  });
}

void
Fleet::PublishBundle()
{
  for (int i = 0; i < Size(); ++i) {
    DeliverBundle(i);
  }
}

void
Fleet::PublishList()
{
  for (int i = 0; i < Size(); ++i) {
    DeliverList(i);
  }
}

void
Fleet::SetPlatformUp(bool aUp)
{
  m_platformUp = aUp;
  if (aUp) {
    PublishBundle();
    PublishList();
  }
}

void
Fleet::Start(int aHost)
{
  Host& host = *m_hosts[static_cast<std::size_t>(aHost)];
  if (host.m_process) {
    return;
  }
  const auto& entry = m_site.List().m_hosts[static_cast<std::size_t>(aHost)];
  host.m_process =
    MakeHost(m_policy,
             { entry.m_name, entry.m_zone, ++m_incarnation, { m_site.Key() } },
             host);
  ++host.m_life;
  host.m_paused = false;
  host.m_leaving = false;
  host.m_inbox.clear();
  m_fabric.push_back(aHost);
  DeliverBundle(aHost);
  DeliverList(aHost);
  TickLater(aHost);
}

void
Fleet::TickLater(int aHost)
{
  const std::uint64_t life = m_hosts[static_cast<std::size_t>(aHost)]->m_life;
  m_queue.After(core::kTickInterval, [this, aHost, life] {
    Host& host = *m_hosts[static_cast<std::size_t>(aHost)];
    if (!host.m_process || host.m_life != life) {
      return;
    }
    if (!host.m_paused) {
      host.m_process->OnTick(m_queue.Now());
    }
    TickLater(aHost);
  });
}

void
Fleet::Kill(int aHost)
{
  m_hosts[static_cast<std::size_t>(aHost)]->m_process.reset();
  m_queue.After(kFabricNotices, [this, aHost] {
    if (!m_hosts[static_cast<std::size_t>(aHost)]->m_process) {
      std::erase(m_fabric, aHost);
    }
  });
}

void
Fleet::Stop(int aHost)
{
  Host& host = *m_hosts[static_cast<std::size_t>(aHost)];
  if (!host.m_process) {
    return;
  }
  host.m_leaving = true;
  host.m_process->BeginLeave(m_queue.Now());
  m_queue.After(kFabricLearnsLeave,
                [this, aHost] { std::erase(m_fabric, aHost); });
  m_queue.After(kFabricLearnsLeave + kLeaveQuiet, [this, aHost] {
    Host& leaver = *m_hosts[static_cast<std::size_t>(aHost)];
    if (leaver.m_process && leaver.m_leaving) {
      m_measures.Count("stops_undrained",
                       leaver.m_process->IsDrained() ? 0 : 1);
      leaver.m_process->FinishLeave(m_queue.Now());
      leaver.m_process.reset();
    }
  });
}

void
Fleet::Pause(int aHost, base::Duration aLength)
{
  Host& host = *m_hosts[static_cast<std::size_t>(aHost)];
  host.m_paused = true;
  const std::uint64_t life = host.m_life;
  m_queue.After(aLength, [this, aHost, life] {
    Host& woken = *m_hosts[static_cast<std::size_t>(aHost)];
    if (!woken.m_process || woken.m_life != life) {
      return;
    }
    woken.m_paused = false;
    while (!woken.m_inbox.empty()) {
      const auto action = std::move(woken.m_inbox.front());
      woken.m_inbox.pop_front();
      action();
    }
  });
}

void
Fleet::SetLag(int aHost, base::Duration aLag)
{
  m_hosts[static_cast<std::size_t>(aHost)]->m_lag = aLag;
}

bool
Fleet::IsSettled() const
{
  return std::ranges::all_of(m_hosts, [](const auto& aHost) {
    return !aHost->m_process || aHost->m_process->IsReady();
  });
}

const std::string&
Fleet::ZoneOf(int aHost) const
{
  return m_site.List().m_hosts[static_cast<std::size_t>(aHost)].m_zone;
}

void
Fleet::Summarize()
{
  std::vector<const ControlAccount*> accounts;
  accounts.reserve(m_hosts.size());
  for (const auto& host : m_hosts) {
    accounts.push_back(&host->m_account);
  }
  ControlAccount::Summarize(accounts, m_measures);
}

} // namespace wasabiloom::scenario
