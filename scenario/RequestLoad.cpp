#include "RequestLoad.h"

#include "wasabiloom/packet/IpWriter.h"
#include "wasabiloom/wire/EnvelopeCodec.h"

#include <algorithm>

namespace wasabiloom::scenario {

namespace {

using request::Envelope;
using request::EnvelopeKind;
using std::chrono::milliseconds;

constexpr std::uint32_t kCallerNet = 0x30000000;
constexpr std::uint32_t kCallers = 200;
constexpr std::uint16_t kCallerPort = 9000;
constexpr base::Duration kBackendDelay = milliseconds(1);
constexpr base::Duration kRepeatAfter = milliseconds(400);
constexpr base::Duration kGrace = milliseconds(500);
constexpr std::uint32_t kParts = 2;

} // namespace

RequestLoad::RequestLoad(const Script& aScript,
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
RequestLoad::Start()
{
  for (std::size_t spec = 0; spec < m_script.m_requests.size(); ++spec) {
    Ask(spec);
  }
}

std::string
RequestLoad::NewId()
{
  std::string id;
  for (std::size_t i = 0; i < request::kRequestIdBytes; ++i) {
    id += static_cast<char>(m_random());
  }
  return id;
}

void
RequestLoad::Ask(std::size_t aSpec)
{
  const RequestSpec& spec = m_script.m_requests[aSpec];
  const auto service = std::ranges::find(
    m_site.Bundle().m_services, spec.m_service, &bundle::Service::m_name);
  Asked asked;
  asked.m_spec = aSpec;
  const auto caller = static_cast<std::uint32_t>(m_random() % kCallers);
  asked.m_flow = { { { kCallerNet + caller }, kCallerPort },
                   service->m_address };
  asked.m_envelope.m_id = NewId();
  asked.m_envelope.m_repeatable = spec.m_repeatable;
  asked.m_envelope.m_body = asked.m_envelope.m_id;
  asked.m_since = m_queue.Now();
  const std::string id = asked.m_envelope.m_id;
  m_asked[id] = asked;
  m_measures.Count("requests_asked");
  Send(id);
  m_queue.After(spec.m_deadline + kGrace, [this, id] {
    if (!m_asked[id].m_settled) {
      Settle(m_asked[id], "silent");
    }
  });
  std::exponential_distribution<double> gap(spec.m_perSecond);
  m_queue.After(std::chrono::duration_cast<base::Duration>(
                  std::chrono::duration<double>(gap(m_random))),
                [this, aSpec] { Ask(aSpec); });
}

void
RequestLoad::Send(const std::string& aId)
{
  Asked& asked = m_asked[aId];
  const auto deadline = m_script.m_requests[asked.m_spec].m_deadline;
  const auto left = std::chrono::duration_cast<milliseconds>(
    asked.m_since + deadline - m_queue.Now());
  if (asked.m_settled || left.count() <= 0) {
    return;
  }
  asked.m_envelope.m_timeout = left;
  const std::string payload = wire::EncodeEnvelope(asked.m_envelope);
  m_fleet.Spray({ std::make_shared<const std::vector<std::byte>>(
                    packet::WriteUdp(asked.m_flow.m_caller,
                                     asked.m_flow.m_service.m_endpoint,
                                     std::as_bytes(std::span(payload)))),
                  kFirstRequestTag });
  m_queue.After(kRepeatAfter, [this, aId] { Send(aId); });
}

void
RequestLoad::OnBackendDatagram(const base::Endpoint& aTo,
                               const Envelope& aEnvelope,
                               int aHost)
{
  std::string service;
  const bundle::Target* target = m_site.TargetAt(aTo, service);
  if (target == nullptr || aEnvelope.m_service != service) {
    m_measures.Violate(
      { "P2", "request sent to another service", m_queue.Now(), -1 });
    return;
  }
  const std::string name = target->m_name;
  m_queue.After(kBackendDelay, [this, name, aEnvelope, aHost] {
    if (aEnvelope.m_kind == EnvelopeKind::Cancel) {
      m_running[name].erase(aEnvelope.m_id);
    } else {
      RunRequest(name, aEnvelope, aHost);
    }
  });
}

void
RequestLoad::RunRequest(const std::string& aTarget,
                        const Envelope& aEnvelope,
                        int aHost)
{
  const Asked& asked = m_asked[aEnvelope.m_body];
  const auto work = m_script.m_requests[asked.m_spec].m_work;
  std::set<std::string>& running = m_running[aTarget];
  constexpr std::size_t kSlots = 2;
  const bool late = aEnvelope.m_timeout < work;
  if (late || running.size() >= kSlots) {
    m_measures.Count("requests_shed");
    Envelope refusal = aEnvelope;
    refusal.m_kind = EnvelopeKind::Refusal;
    refusal.m_code = base::ResultCode::NoCapacity;
    Reply(refusal, aHost);
    return;
  }
  CountRun(aEnvelope.m_body);
  running.insert(aEnvelope.m_id);
  m_queue.After(work, [this, aTarget, aEnvelope, aHost] {
    if (m_running[aTarget].erase(aEnvelope.m_id) == 0) {
      return;
    }
    Envelope answer = aEnvelope;
    answer.m_kind = EnvelopeKind::Answer;
    answer.m_partCount = kParts;
    for (std::uint32_t part = 0; part < kParts; ++part) {
      answer.m_partIndex = kParts - 1 - part;
      Reply(answer, aHost);
    }
  });
}

void
RequestLoad::CountRun(const std::string& aId)
{
  Asked& asked = m_asked[aId];
  ++asked.m_runs;
  m_measures.Count("requests_run");
  if (asked.m_runs > 1 && !asked.m_envelope.m_repeatable) {
    m_measures.Violate({ "P7",
                         "a request that may not be repeated ran twice",
                         m_queue.Now(),
                         -1 });
  }
}

void
RequestLoad::Reply(const Envelope& aReply, int aHost)
{
  m_queue.After(kBackendDelay,
                [this, aReply, aHost] { m_fleet.SendToHost(aHost, aReply); });
}

void
RequestLoad::OnCallerDatagram(const Envelope& aEnvelope)
{
  const auto found = m_asked.find(aEnvelope.m_id);
  if (found == m_asked.end() || found->second.m_settled) {
    return;
  }
  Asked& asked = found->second;
  if (aEnvelope.m_kind == EnvelopeKind::Answer) {
    if (aEnvelope.m_body != asked.m_envelope.m_body) {
      m_measures.Violate(
        { "P5", "answer to another request", m_queue.Now(), -1 });
    }
    asked.m_parts.insert(aEnvelope.m_partIndex);
    if (asked.m_parts.size() == aEnvelope.m_partCount) {
      Settle(asked, "answered");
    }
    return;
  }
  const bool refused = aEnvelope.m_kind == EnvelopeKind::Refusal;
  if (refused && asked.m_runs > 0) {
    m_measures.Violate(
      { "P6", "refused though it was run", m_queue.Now(), -1 });
  }
  Settle(asked, refused ? "refused" : "unknown");
}

void
RequestLoad::Settle(Asked& aAsked, const std::string& aOutcome)
{
  aAsked.m_settled = true;
  m_measures.Count("requests_" + aOutcome);
}

void
RequestLoad::Summarize()
{
  for (const char* outcome : { "answered", "refused", "unknown", "silent" }) {
    m_measures.Count(std::string("requests_") + outcome, 0);
  }
  const double admitted =
    m_measures.Value("requests_asked") - m_measures.Value("requests_refused");
  if (admitted > 0) {
    m_measures.Set("answered_share_of_admitted",
                   m_measures.Value("requests_answered") / admitted);
  }
  double capacity = 0;
  for (const RequestSpec& spec : m_script.m_requests) {
    const auto service = std::ranges::find(
      m_site.Bundle().m_services, spec.m_service, &bundle::Service::m_name);
    for (const bundle::Target& target : service->m_targets) {
      capacity +=
        target.m_slots / std::chrono::duration<double>(spec.m_work).count();
    }
  }
  const double seconds =
    std::chrono::duration<double>(m_script.m_length).count();
  const double possible =
    std::min(capacity * seconds, m_measures.Value("requests_asked"));
  if (possible > 0) {
    m_measures.Set("goodput_share",
                   m_measures.Value("requests_answered") / possible);
  }
}

} // namespace wasabiloom::scenario
