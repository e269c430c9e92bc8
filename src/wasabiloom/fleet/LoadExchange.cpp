#include "wasabiloom/fleet/LoadExchange.h"

#include "wasabiloom/base/Hash.h"
#include "wasabiloom/fleet/MessageCodec.h"

#include <algorithm>

namespace wasabiloom::fleet {

namespace {

std::int64_t
SizeOf(const Message& aMessage)
{
  return static_cast<std::int64_t>(EncodeMessage(aMessage).size() +
                                   kHeaderBytes);
}

/// Removes the least useful item of a report. Returns false if there is none.
bool
Shorten(LoadReport& aReport)
{
  auto& zones = aReport.m_learned.m_zones;
  auto& means = aReport.m_learned.m_means;
  auto& servers = aReport.m_load.m_servers;
  auto& requests = aReport.m_load.m_requests;
  if (!zones.empty() && zones.size() >= servers.size()) {
    zones.pop_back();
  } else if (!servers.empty()) {
    servers.pop_back();
  } else if (!means.empty()) {
    means.pop_back();
  } else if (!requests.empty()) {
    requests.pop_back();
  } else {
    return false;
  }
  return true;
}

/// Whether report `aNumber` is whole; those to other zones always are.
bool
IsWhole(std::uint32_t aNumber)
{
  return aNumber % 2 == 0;
}

} // namespace

LoadOutbox::~LoadOutbox() = default;

LoadExchange::LoadExchange(base::Duration aInterval,
                           std::uint64_t aSeed,
                           const SwimMembership& aMembership,
                           LocalLoad& aLoad,
                           LoadOutbox& aOutbox)
  : m_interval(aInterval)
  , m_random(aSeed)
  , m_membership(aMembership)
  , m_load(aLoad)
  , m_outbox(aOutbox)
  , m_allowance(kLoadBytesPerSecond, kLoadBurstBytes)
{
}

void
LoadExchange::Tick(base::Instant aNow)
{
  if (m_interval <= base::Duration::zero()) {
    return;
  }
  const bool isFirst = m_tickedAt == base::Instant{};
  const bool wasPaused = !isFirst && aNow - m_tickedAt > kExchangePause;
  m_tickedAt = aNow;
  if (isFirst || wasPaused) {
    m_load.TakeLoad(aNow);
    // Hosts that start or resume at once don't report at once.
    m_dueAt =
      aNow + std::chrono::duration_cast<base::Duration>(
               m_interval * std::uniform_real_distribution<>()(m_random));
    return;
  }
  m_allowance.Refill(aNow);
  if (aNow < m_dueAt || !CanSend(m_sequence + 1)) {
    return;
  }
  m_dueAt = std::max(m_dueAt + m_interval, aNow);
  UpdateLiveHosts();
  ++m_sequence;
  const placing::HostLoad load = m_load.TakeLoad(aNow);
  const Member& self = m_membership.Self();
  const placing::LearnedLoad learned =
    m_load.NewestLoad(kMaxReportedZones, aNow);
  m_load.MergeLoad(
    { self.m_address, self.m_zone, self.m_incarnation, m_sequence, true },
    load,
    learned,
    aNow);
  SendReports(load, learned);
}

void
LoadExchange::UpdateLiveHosts()
{
  placing::LiveHosts live;
  for (const auto& [zone, members] : m_membership.LiveByZone()) {
    live[zone] = members.size();
  }
  ++live[m_membership.Self().m_zone];
  m_load.SetLiveHosts(std::move(live));
}

void
LoadExchange::SendReports(const placing::HostLoad& aLoad,
                          const placing::LearnedLoad& aLearned)
{
  for (std::uint32_t i = 0; i < kMaxReceivers; ++i) {
    const std::uint32_t number = m_sequence + i;
    const auto to = CanSend(number) ? ReceiverOf(number) : std::nullopt;
    if (!to) {
      return;
    }
    const auto member = m_membership.Find(*to);
    const bool isNear = member && member->m_zone == m_membership.Self().m_zone;
    const Message message =
      Compose(aLoad, aLearned, isNear, IsWhole(number) || !isNear);
    const std::int64_t size = SizeOf(message);
    m_allowance.Spend(size);
    m_totals.m_sentBytes += static_cast<std::uint64_t>(size);
    ++m_totals.m_sent;
    m_outbox.SendLoad(*to, message);
  }
}

bool
LoadExchange::CanSend(std::uint32_t aNumber) const
{
  return m_allowance.Level() >=
         (IsWhole(aNumber) ? kWholeReportBytes : kShortReportBytes);
}

std::optional<base::Ipv4Address>
LoadExchange::ReceiverOf(std::uint32_t aNumber) const
{
  if (aNumber % kReportsPerFarReport == 0) {
    const auto other = DrawInOtherZone(aNumber);
    return other ? other : DrawInZone(aNumber);
  }
  const auto near = DrawInZone(aNumber);
  return near ? near : DrawInOtherZone(aNumber);
}

std::vector<base::Ipv4Address>
LoadExchange::HostsOfZone() const
{
  const Member& self = m_membership.Self();
  std::vector<base::Ipv4Address> hosts{ self.m_address };
  const auto zone = m_membership.LiveByZone().find(self.m_zone);
  if (zone != m_membership.LiveByZone().end()) {
    for (const Member* member : zone->second) {
      hosts.push_back(member->m_address);
    }
  }
  std::ranges::sort(hosts);
  return hosts;
}

std::size_t
LoadExchange::OwnPlace(const std::vector<base::Ipv4Address>& aHosts) const
{
  const auto own = std::ranges::find(aHosts, m_membership.Self().m_address);
  return static_cast<std::size_t>(own - aHosts.begin());
}

std::optional<base::Ipv4Address>
LoadExchange::DrawInZone(std::uint32_t aNumber) const
{
  const std::vector<base::Ipv4Address> hosts = HostsOfZone();
  if (hosts.size() < 2) {
    return std::nullopt;
  }
  const std::size_t step = 1 + base::Mix(aNumber) % (hosts.size() - 1);
  return hosts[(OwnPlace(hosts) + step) % hosts.size()];
}

std::optional<base::Ipv4Address>
LoadExchange::DrawInOtherZone(std::uint32_t aNumber) const
{
  // Other zones in the order that begins after the own one.
  const std::string& own = m_membership.Self().m_zone;
  std::vector<const std::vector<const Member*>*> others;
  std::size_t before = 0;
  for (const auto& [zone, members] : m_membership.LiveByZone()) {
    if (zone != own && !members.empty()) {
      others.push_back(&members);
      before += zone < own ? 1 : 0;
    }
  }
  if (others.empty()) {
    return std::nullopt;
  }
  const std::size_t turn = aNumber / kReportsPerFarReport;
  const auto& members = *others[(before + turn) % others.size()];
  const std::size_t place =
    (OwnPlace(HostsOfZone()) + base::Mix(aNumber)) % members.size();
  std::vector<base::Ipv4Address> hosts;
  hosts.reserve(members.size());
  for (const Member* member : members) {
    hosts.push_back(member->m_address);
  }
  std::ranges::nth_element(hosts,
                           hosts.begin() + static_cast<std::ptrdiff_t>(place));
  return hosts[place];
}

Message
LoadExchange::Compose(const placing::HostLoad& aLoad,
                      const placing::LearnedLoad& aLearned,
                      bool aOwnZone,
                      bool aWhole) const
{
  const Member& self = m_membership.Self();
  // Statements on members are left to the probes, which spread them in time.
  Message message{ self, {}, LoadReport{ m_sequence, aLoad, aLearned } };
  auto& report = std::get<LoadReport>(message.m_content);
  if (!aWhole) {
    report.m_learned.m_zones.clear();
    std::erase_if(report.m_load.m_servers,
                  [](const placing::ServerSample& aSample) {
                    return !aSample.m_isFailing;
                  });
  }
  if (aOwnZone) {
    // Hosts of the zone estimate its mean themselves.
    std::erase_if(report.m_learned.m_zones,
                  [&](const placing::ZoneRequests& aZone) {
                    return aZone.m_sourceZone == self.m_zone;
                  });
  } else {
    report.m_learned.m_means.clear();
    report.m_load.m_requests.clear();
  }
  const std::int64_t limit =
    std::min(m_allowance.Level(),
             static_cast<std::int64_t>(kMaxMessageBytes + kHeaderBytes));
  while (SizeOf(message) > limit && Shorten(report)) {
  }
  return message;
}

void
LoadExchange::OnReport(const Member& aSender,
                       const LoadReport& aReport,
                       base::Instant aNow)
{
  if (m_interval <= base::Duration::zero() ||
      aSender.m_address == m_membership.Self().m_address) {
    return;
  }
  ++m_totals.m_received;
  // The next report of this host gets at least the number of this one, and is
  // not numbered after it: the numbers would otherwise rise with each hop.
  if (aReport.m_sequence > m_sequence &&
      aReport.m_sequence < kMaxAdoptedSequence) {
    m_sequence = aReport.m_sequence - 1;
  }
  const bool isMerged = m_load.MergeLoad({ aSender.m_address,
                                           aSender.m_zone,
                                           aSender.m_incarnation,
                                           aReport.m_sequence },
                                         aReport.m_load,
                                         aReport.m_learned,
                                         aNow);
  m_totals.m_ignored += isMerged ? 0 : 1;
}

} // namespace wasabiloom::fleet
