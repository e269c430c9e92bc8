#include "wasabiloom/daemon/TokenMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace wasabiloom::daemon {

namespace {

using Buckets = prometheus::Histogram::BucketBoundaries;

const Buckets kCallSeconds = { 0.005, 0.01, 0.05, 0.2, 1, 5 };
const Buckets kBatchSeconds = { 0.00005, 0.0002, 0.001, 0.005, 0.02 };

double
Seconds(base::Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

/// Metric families by name.
struct TokenMetrics::Families
{
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Gauge>& m_packets =
    prometheus::BuildGauge()
      .Name("wasabiloom_packets_total")
      .Help("packets by what was decided")
      .Register(m_registry);
  prometheus::Family<prometheus::Gauge>& m_state =
    prometheus::BuildGauge()
      .Name("wasabiloom_state")
      .Help("what the host holds and believes")
      .Register(m_registry);
  prometheus::Histogram& m_calls = prometheus::BuildHistogram()
                                     .Name("wasabiloom_registry_call_seconds")
                                     .Help("answer time of the registry")
                                     .Register(m_registry)
                                     .Add({}, kCallSeconds);
  prometheus::Histogram& m_batches =
    prometheus::BuildHistogram()
      .Name("wasabiloom_batch_seconds")
      .Help("time to carry one batch of packets")
      .Register(m_registry)
      .Add({}, kBatchSeconds);

  void SetPackets(std::string_view aReason, std::uint64_t aCount)
  {
    m_packets.Add({ { "reason", std::string(aReason) } })
      .Set(static_cast<double>(aCount));
  }

  void SetState(const char* aName, std::uint64_t aValue)
  {
    m_state.Add({ { "name", aName } }).Set(static_cast<double>(aValue));
  }
};

TokenMetrics::TokenMetrics()
  : m_families(std::make_unique<Families>())
{
}

TokenMetrics::~TokenMetrics() = default;

void
TokenMetrics::ObserveCall(base::Duration aSpan)
{
  m_families->m_calls.Observe(Seconds(aSpan));
}

void
TokenMetrics::ObserveBatch(base::Duration aSpan)
{
  m_families->m_batches.Observe(Seconds(aSpan));
}

std::string
TokenMetrics::Write(const token::TokenHost& aHost)
{
  const token::Totals& totals = aHost.GetTotals();
  for (std::size_t i = 0; i < token::kReasonCount; ++i) {
    m_families->SetPackets(ToString(static_cast<token::Reason>(i)),
                           totals.m_byReason.at(i));
  }
  m_families->SetState("malformed", totals.m_malformed);
  m_families->SetState("delivered", totals.m_delivered);
  m_families->SetState("resets", totals.m_resets);
  m_families->SetState("dropped", totals.m_dropped);
  m_families->SetState("facts_adopted", totals.m_factsAdopted);
  m_families->SetState("facts_set_aside", totals.m_factsSetAside);
  m_families->SetState("registry_calls", totals.m_calls);
  m_families->SetState("registry_calls_failed", totals.m_callsFailed);
  m_families->SetState("can_serve", aHost.CanServe() ? 1 : 0);
  m_families->SetState("flows", aHost.FlowCount());
  m_families->SetState("servers", aHost.GetCache().ServerCount());
  m_families->SetState("revision", aHost.Revision().m_number);
  m_families->SetState("registry_epoch", aHost.Revision().m_epoch);
  m_families->SetState("kept_facts", aHost.GetCache().KeptCount());
  m_families->SetState("version", aHost.GetCache().CurrentGlobal().m_version);
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text,
                                         m_families->m_registry.Collect());
  return text.str();
}

} // namespace wasabiloom::daemon
