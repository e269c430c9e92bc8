#include "wasabiloom/daemon/TokenMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cmath>
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
  prometheus::Family<prometheus::Gauge>& m_load =
    prometheus::BuildGauge()
      .Name("wasabiloom_requests_per_slot")
      .Help("load of the own zone's servers, estimated from load reports")
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

  /// Sets the load of each service in the zone of `aHost`; a service without
  /// an estimate has no gauge.
  void SetLoads(const token::TokenHost& aHost, base::Instant aNow)
  {
    const placing::LoadTable& table = aHost.GetSharedLoad();
    for (const auto& [group, slots] : table.Slots()) {
      const auto load = table.LoadOfZone(group.m_service, group.m_zone, aNow);
      if (group.m_zone != aHost.Zone()) {
        continue;
      }
      prometheus::Gauge& gauge = m_load.Add({ { "service", group.m_service } });
      if (load) {
        gauge.Set(load->m_requestsPerSlot);
      } else {
        m_load.Remove(&gauge);
      }
    }
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
TokenMetrics::Write(const token::TokenHost& aHost,
                    const fleet::LoadTotals& aLoad,
                    base::Instant aNow)
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
  const token::ServerSelector& servers = aHost.GetServers();
  const placing::RampTotals& ramps = servers.GetSlowStart().Totals();
  m_families->SetState("ramping", servers.GetSlowStart().RampingCount());
  m_families->SetState("ramps_began", ramps.m_began);
  m_families->SetState("ramps_full", ramps.m_full);
  m_families->SetState("ramps_failed", ramps.m_failed);
  m_families->SetState("cold_openings", servers.GetColdQuota().SentCount());
  m_families->SetState("load_reports_sent", aLoad.m_sent);
  m_families->SetState("load_report_bytes_sent", aLoad.m_sentBytes);
  m_families->SetState("load_reports_received", aLoad.m_received);
  m_families->SetState("load_reports_ignored", aLoad.m_ignored);
  m_families->SetState("load_reporters", aHost.GetSharedLoad().ReporterCount());
  m_families->SetLoads(aHost, aNow);
  m_families->SetState("spilled_flows", servers.SpilledCount());
  m_families->SetState("spill_percent",
                       static_cast<std::uint64_t>(std::lround(
                         100 * servers.GetLoadControl().LargestSpill())));
  m_families->SetState("admission_level_percent",
                       static_cast<std::uint64_t>(std::lround(
                         100 * servers.GetLoadControl().HighestLevel())));
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text,
                                         m_families->m_registry.Collect());
  return text.str();
}

} // namespace wasabiloom::daemon
