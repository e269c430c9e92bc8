#include "wasabiloom/daemon/MetricsTask.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <exception>
#include <string>

namespace wasabiloom::daemon {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Registry;

Family<Counter>&
AddCounter(Registry& aRegistry, const std::string& aName, const char* aHelp)
{
  return prometheus::BuildCounter()
    .Name("wasabiloom_" + aName)
    .Help(aHelp)
    .Register(aRegistry);
}

Family<Gauge>&
AddGauge(Registry& aRegistry, const std::string& aName, const char* aHelp)
{
  return prometheus::BuildGauge()
    .Name("wasabiloom_" + aName)
    .Help(aHelp)
    .Register(aRegistry);
}

void
Raise(Counter& aCounter, std::uint64_t aTotal)
{
  const double delta = static_cast<double>(aTotal) - aCounter.Value();
  if (delta > 0) {
    aCounter.Increment(delta);
  }
}

} // namespace

/// Registry and metric families of the task.
struct MetricsTask::Families
{
  explicit Families(const std::string& aBind)
    : m_exposer(aBind, 1)
    , m_registry(std::make_shared<Registry>())
    , m_packets(AddCounter(*m_registry,
                           "packets_total",
                           "Packets by what was done with them"))
    , m_refused(AddCounter(*m_registry,
                           "refused_total",
                           "Refused inputs by result code"))
    , m_flowsPlaced(
        AddCounter(*m_registry, "flows_total", "Flows seen and flows opened"))
    , m_state(AddGauge(*m_registry, "host", "State of this host"))
    , m_rows(AddGauge(*m_registry,
                      "target_rows",
                      "Rows of the steering table by backend server"))
    , m_flows(AddGauge(*m_registry,
                       "target_flows",
                       "Flows this host has seen by backend server"))
  {
    m_exposer.RegisterCollectable(m_registry);
  }

  prometheus::Exposer m_exposer;
  std::shared_ptr<Registry> m_registry;
  Family<Counter>& m_packets;
  Family<Counter>& m_refused;
  Family<Counter>& m_flowsPlaced;
  Family<Gauge>& m_state;
  Family<Gauge>& m_rows;
  Family<Gauge>& m_flows;
};

MetricsTask::MetricsTask(std::unique_ptr<Families> aFamilies)
  : m_families(std::move(aFamilies))
{
}

MetricsTask::~MetricsTask() = default;

base::Result<std::unique_ptr<MetricsTask>>
MetricsTask::Start(const base::Endpoint& aLocal)
{
  try {
    auto families = std::make_unique<Families>(ToString(aLocal));
    return std::unique_ptr<MetricsTask>(new MetricsTask(std::move(families)));
  } catch (const std::exception& failure) {
    return base::Fail(base::ResultCode::SocketFailed,
                      "metrics " + ToString(aLocal) + ": " + failure.what());
  }
}

void
MetricsTask::Publish(const core::Counters& aCounters,
                     const core::HostStatus& aStatus)
{
  Families& families = *m_families;
  Raise(families.m_packets.Add({ { "action", "forwarded" } }),
        aCounters.m_forwarded);
  Raise(families.m_packets.Add({ { "action", "relayed" } }),
        aCounters.m_relayed);
  Raise(families.m_packets.Add({ { "action", "request" } }),
        aCounters.m_requestPackets);
  Raise(families.m_flowsPlaced.Add({ { "kind", "seen" } }),
        aCounters.m_flowsSeen);
  Raise(families.m_flowsPlaced.Add({ { "kind", "opened" } }),
        aCounters.m_flowsOpened);
  for (const base::ResultCodeEntry& entry : base::AllResultCodes()) {
    const auto number = static_cast<std::size_t>(entry.m_code);
    const std::uint64_t total = aCounters.m_refused.at(number);
    if (total > 0) {
      Raise(families.m_refused.Add({ { "code", std::to_string(number) },
                                     { "name", std::string(entry.m_name) } }),
            total);
    }
  }
  const auto setState = [&](const char* aName, std::uint64_t aValue) {
    families.m_state.Add({ { "value", aName } })
      .Set(static_cast<double>(aValue));
  };
  setState("ready", aStatus.m_ready ? 1 : 0);
  setState("bundle_version", aStatus.m_bundleVersion);
  setState("list_revision", aStatus.m_listRevision);
  setState("live_peers", aStatus.m_livePeers.size());
  setState("requests_in_progress", aStatus.m_requestsInProgress);
  for (const core::ServiceStatus& service : aStatus.m_services) {
    for (const core::TargetStatus& target : service.m_targets) {
      const prometheus::Labels labels = { { "service", service.m_name },
                                          { "target", target.m_name } };
      families.m_rows.Add(labels).Set(static_cast<double>(target.m_rows));
      families.m_flows.Add(labels).Set(static_cast<double>(target.m_flows));
    }
  }
}

} // namespace wasabiloom::daemon
