#include "FlowLoad.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace wasabiloom::scenario {

namespace {

using packet::TcpKind;
using std::chrono::milliseconds;

constexpr std::uint32_t kCallerNet = 0x20000000;
constexpr std::uint16_t kCallerPort = 40000;
constexpr base::Duration kReplyTime = milliseconds(4);
constexpr base::Duration kOpenRetry = milliseconds(1000);
constexpr base::Duration kFirstRetry = milliseconds(200);
constexpr base::Duration kOpenInTime = milliseconds(1000);
constexpr base::Duration kPromiseDelay = std::chrono::seconds(3);
constexpr int kMaxLosses = 7;

std::int64_t
TagOf(std::int64_t aFlow, TcpKind aKind)
{
  return (aFlow * kTagKinds) + static_cast<std::int64_t>(aKind);
}

double
Seconds(base::Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

FlowLoad::FlowLoad(const Script& aScript,
                   const Site& aSite,
                   Fleet& aFleet,
                   EventQueue& aQueue,
                   Measures& aMeasures,
                   std::uint64_t aSeed)
  : m_script(aScript)
  , m_site(aSite)
  , m_fleet(aFleet)
  , m_queue(aQueue)
  , m_measures(aMeasures)
  , m_random(aSeed)
{
}

void
FlowLoad::Start()
{
  for (std::size_t spec = 0; spec < m_script.m_flows.size(); ++spec) {
    const FlowSpec& flows = m_script.m_flows[spec];
    for (int i = 0; i < flows.m_count; ++i) {
      const auto delay = flows.m_over * i / std::max(flows.m_count, 1);
      m_queue.After(delay, [this, spec] { OpenNew(spec); });
    }
  }
}

base::Duration
FlowLoad::RandomLife(const FlowSpec& aSpec)
{
  const double low = std::log(Seconds(aSpec.m_shortest));
  const double high = std::log(Seconds(aSpec.m_longest));
  std::uniform_real_distribution<double> pick(low, high);
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(std::exp(pick(m_random))));
}

base::Duration
FlowLoad::RandomGap(const FlowSpec& aSpec)
{
  std::exponential_distribution<double> pick(1.0 / Seconds(aSpec.m_gap));
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(pick(m_random)));
}

void
FlowLoad::OpenNew(std::size_t aSpec)
{
  const FlowSpec& spec = m_script.m_flows[aSpec];
  const auto service = std::ranges::find(
    m_site.Bundle().m_services, spec.m_service, &bundle::Service::m_name);
  const auto number = static_cast<std::int64_t>(m_flows.size());
  Flow flow;
  flow.m_spec = aSpec;
  const auto address = kCallerNet + static_cast<std::uint32_t>(number);
  flow.m_key = { { { address }, kCallerPort }, service->m_address };
  flow.m_askedAt = m_queue.Now();
  flow.m_endsAt = m_queue.Now() + RandomLife(spec);
  m_flows.push_back(flow);
  m_measures.Count("flows_asked");
  SendPacket(number, TcpKind::Open);
}

void
FlowLoad::SendPacket(std::int64_t aFlow, TcpKind aKind)
{
  const Flow& flow = m_flows[static_cast<std::size_t>(aFlow)];
  m_fleet.Spray(
    { std::make_shared<const std::vector<std::byte>>(packet::WriteTcp(
        flow.m_key.m_caller, flow.m_key.m_service.m_endpoint, aKind, {})),
      TagOf(aFlow, aKind) });
}

void
FlowLoad::SendNext(std::int64_t aFlow)
{
  Flow& flow = m_flows[static_cast<std::size_t>(aFlow)];
  if (flow.m_state != State::Open) {
    return;
  }
  if (m_queue.Now() >= flow.m_endsAt) {
    SendPacket(aFlow, TcpKind::Close);
    m_measures.Count("flows_finished");
    End(aFlow);
    return;
  }
  SendPacket(aFlow, TcpKind::Data);
}

void
FlowLoad::OnForwarded(std::int64_t aTag,
                      const base::Endpoint& aTo,
                      const std::string& aHost)
{
  const std::int64_t number = aTag / kTagKinds;
  const auto kind = static_cast<TcpKind>(aTag % kTagKinds);
  Flow& flow = m_flows[static_cast<std::size_t>(number)];
  std::string service;
  const bundle::Target* target = m_site.TargetAt(aTo, service);
  if (target == nullptr) {
    m_measures.Count("packets_to_removed");
    Break(number, "sent to a removed backend server");
    return;
  }
  CheckPromises(number, *target, service, aHost);
  if (m_deadTargets.contains(target->m_name)) {
    OnLost(aTag, "backend server dead");
    return;
  }
  if (kind == TcpKind::Open) {
    OnOpened(number, target->m_name);
    return;
  }
  if (flow.m_state != State::Open || kind == TcpKind::Close) {
    return;
  }
  if (target->m_name != flow.m_target) {
    Break(number,
          aHost + " sent it to " + target->m_name + " instead of " +
            flow.m_target);
    return;
  }
  flow.m_losses = 0;
  const auto gap = kReplyTime + RandomGap(m_script.m_flows[flow.m_spec]);
  m_queue.After(gap, [this, number] { SendNext(number); });
}

void
FlowLoad::OnOpened(std::int64_t aFlow, const std::string& aTarget)
{
  Flow& flow = m_flows[static_cast<std::size_t>(aFlow)];
  if (flow.m_state != State::Opening) {
    m_measures.Count("stray_opens", flow.m_target == aTarget ? 0 : 1);
    return;
  }
  const auto leaving = m_site.LeavingSince(aTarget);
  if (leaving && m_queue.Now() - *leaving > kPromiseDelay) {
    m_measures.Violate(
      { "P8", "new flow on leaving " + aTarget, m_queue.Now(), aFlow });
  }
  flow.m_state = State::Open;
  flow.m_target = aTarget;
  flow.m_givenUp = IsInZoneOut(aTarget);
  ++m_openOn[aTarget];
  flow.m_losses = 0;
  m_measures.Count("flows_opened");
  const auto took = m_queue.Now() - flow.m_askedAt;
  m_measures.Count("flows_opened_in_time", took <= kOpenInTime ? 1 : 0);
  m_queue.After(kReplyTime, [this, aFlow] { SendNext(aFlow); });
}

void
FlowLoad::CheckPromises(std::int64_t aFlow,
                        const bundle::Target& aTarget,
                        const std::string& aService,
                        const std::string& aHost)
{
  const Flow& flow = m_flows[static_cast<std::size_t>(aFlow)];
  const FlowSpec& spec = m_script.m_flows[flow.m_spec];
  if (aService != spec.m_service) {
    m_measures.Violate(
      { "P2",
        aHost + " sent a packet of " + spec.m_service + " to " + aTarget.m_name,
        m_queue.Now(),
        aFlow });
  }
  const auto out = m_site.OutSince(aTarget.m_zone);
  if (out && m_queue.Now() - *out > kPromiseDelay) {
    m_measures.Violate({ "P4",
                         aHost + " sent a packet to " + aTarget.m_name +
                           " in zone " + aTarget.m_zone + ", taken out",
                         m_queue.Now(),
                         aFlow });
  }
}

void
FlowLoad::OnLost(std::int64_t aTag, const std::string& aWhy)
{
  const std::int64_t number = aTag / kTagKinds;
  const auto kind = static_cast<TcpKind>(aTag % kTagKinds);
  Flow& flow = m_flows[static_cast<std::size_t>(number)];
  if (kind == TcpKind::Close || flow.m_state == State::Ended) {
    return;
  }
  m_measures.Count("packets_lost");
  if (kind == TcpKind::Open && flow.m_state == State::Opening) {
    m_queue.After(kOpenRetry, [this, number] {
      if (m_flows[static_cast<std::size_t>(number)].m_state == State::Opening) {
        SendPacket(number, TcpKind::Open);
      }
    });
    return;
  }
  if (++flow.m_losses > kMaxLosses) {
    Break(number, "stalled: " + aWhy);
    return;
  }
  m_queue.After(kFirstRetry * (1 << flow.m_losses),
                [this, number] { SendNext(number); });
}

bool
FlowLoad::IsInZoneOut(const std::string& aTarget) const
{
  for (const bundle::Service& service : m_site.Bundle().m_services) {
    for (const bundle::Target& target : service.m_targets) {
      if (target.m_name == aTarget) {
        return m_site.OutSince(target.m_zone).has_value();
      }
    }
  }
  return false;
}

void
FlowLoad::OnZonesChanged()
{
  std::map<std::string, bool> closed;
  for (Flow& flow : m_flows) {
    const auto [known, isNew] = closed.try_emplace(flow.m_target, false);
    if (isNew) {
      known->second = IsInZoneOut(flow.m_target);
    }
    flow.m_givenUp |= known->second;
  }
}

void
FlowLoad::Break(std::int64_t aFlow, const std::string& aHow)
{
  Flow& flow = m_flows[static_cast<std::size_t>(aFlow)];
  if (flow.m_state == State::Ended) {
    return;
  }
  if (flow.m_givenUp || m_deadTargets.contains(flow.m_target)) {
    m_measures.Count("flows_given_up");
  } else {
    m_measures.Count("flows_broken");
    m_measures.Violate({ "P1",
                         "flow " + std::to_string(aFlow) + " broke: " + aHow,
                         m_queue.Now(),
                         aFlow });
  }
  End(aFlow);
}

void
FlowLoad::End(std::int64_t aFlow)
{
  Flow& flow = m_flows[static_cast<std::size_t>(aFlow)];
  if (flow.m_state == State::Open) {
    --m_openOn[flow.m_target];
  }
  flow.m_state = State::Ended;
  OpenNew(flow.m_spec);
}

void
FlowLoad::OnTargetKilled(const std::string& aTarget)
{
  m_deadTargets.insert(aTarget);
}

void
FlowLoad::Summarize()
{
  for (const bundle::Service& service : m_site.Bundle().m_services) {
    double most = 0;
    double sum = 0;
    double count = 0;
    for (const bundle::Target& target : service.m_targets) {
      const bool equal = target.m_state == bundle::TargetState::Active &&
                         !m_deadTargets.contains(target.m_name) &&
                         !m_site.LeavingSince(target.m_name) &&
                         !m_site.OutSince(target.m_zone) && target.m_weight > 0;
      if (equal) {
        const double share =
          static_cast<double>(m_openOn[target.m_name]) / target.m_weight;
        most = std::max(most, share);
        sum += share;
        ++count;
      }
    }
    if (sum > 0) {
      m_measures.Set("imbalance_" + service.m_name, most * count / sum);
    }
  }
  m_measures.Count("flows_broken", 0);
  const double asked = std::max(m_measures.Value("flows_asked"), 1.0);
  m_measures.Set("opened_in_time_share",
                 m_measures.Value("flows_opened_in_time") / asked);
}

std::uint32_t
FlowLoad::OpenOn(const std::string& aTarget) const
{
  const auto found = m_openOn.find(aTarget);
  return found == m_openOn.end() ? 0 : found->second;
}

packet::FlowKey
FlowLoad::KeyOf(std::int64_t aFlow) const
{
  return m_flows[static_cast<std::size_t>(aFlow)].m_key;
}

} // namespace wasabiloom::scenario
