#include "wasabiloom/core/HealthMonitor.h"

#include "wasabiloom/health/WeightCorrection.h"

namespace wasabiloom::core {

namespace {

constexpr base::Duration kProbeInterval = std::chrono::seconds(3);
constexpr base::Duration kTellInterval = std::chrono::seconds(10);
constexpr base::Duration kCorrectionInterval = std::chrono::seconds(6);

/// An older report counts for nothing.
constexpr base::Duration kReportLifetime = std::chrono::seconds(35);

} // namespace

HealthMonitor::HealthMonitor(const steering::ServiceId& aService,
                             steering::TargetDirectory& aDirectory,
                             const peer::HostView& aView,
                             peer::Outbox& aOutbox,
                             Effects& aEffects)
  : m_service(aService)
  , m_directory(aDirectory)
  , m_view(aView)
  , m_outbox(aOutbox)
  , m_effects(aEffects)
{
}

void
HealthMonitor::OnReport(const health::TargetReport& aReport, base::Instant aNow)
{
  m_known[aReport.m_target] = { aReport, aNow };
  m_untold.push_back(aReport);
}

void
HealthMonitor::OnPeerReports(const std::vector<health::TargetReport>& aReports,
                             base::Instant aNow)
{
  for (const health::TargetReport& report : aReports) {
    m_known[report.m_target] = { report, aNow };
  }
}

void
HealthMonitor::Tick(base::Instant aNow)
{
  if (m_statusPort == 0) {
    return;
  }
  if (aNow - m_probedAt >= kProbeInterval) {
    m_probedAt = aNow;
    SendProbes();
  }
  if (aNow - m_toldAt >= kTellInterval && !m_untold.empty()) {
    m_toldAt = aNow;
    TellPeers();
  }
}

void
HealthMonitor::SendProbes()
{
  for (std::size_t i = 0; i < m_directory.Size(); ++i) {
    const auto& target = m_directory.At(static_cast<steering::TargetIndex>(i));
    const bool mine =
      m_view.OwnerOf(steering::HashService(m_service), i) == m_view.Self();
    if (target.m_acceptsPackets && mine) {
      const base::Endpoint status{ target.m_endpoint.m_address, m_statusPort };
      m_effects.ProbeTarget(m_service, target.m_id, status);
    }
  }
}

void
HealthMonitor::TellPeers()
{
  std::map<steering::TargetId, health::TargetReport> latest;
  for (const health::TargetReport& report : m_untold) {
    latest[report.m_target] = report;
  }
  m_untold.clear();
  peer::LoadReports message;
  message.m_service = m_service;
  for (const auto& [target, report] : latest) {
    message.m_reports.push_back(report);
  }
  for (const base::HostId host : m_view.LivePeers()) {
    m_outbox.Send(host, message);
  }
}

bool
HealthMonitor::IsCorrectionDue(base::Instant aNow)
{
  if (aNow - m_correctedAt < kCorrectionInterval) {
    return false;
  }
  m_correctedAt = aNow;
  return true;
}

bool
HealthMonitor::Correct(const std::vector<std::uint32_t>& aSeen,
                       base::Instant aNow)
{
  std::vector<steering::TargetIndex> slots;
  std::vector<health::LoadObservation> evidence;
  for (std::size_t i = 0; i < m_directory.Size(); ++i) {
    const auto slot = static_cast<steering::TargetIndex>(i);
    const steering::TargetInfo& target = m_directory.At(slot);
    if (!target.m_acceptsNewWork) {
      continue;
    }
    health::LoadObservation item{ target.m_weight, std::nullopt, aSeen[i] };
    const auto known = m_known.find(target.m_id);
    if (known != m_known.end() &&
        aNow - known->second.m_at <= kReportLifetime) {
      item.m_reportedFlows = known->second.m_report.m_flows;
    }
    slots.push_back(slot);
    evidence.push_back(item);
  }
  const auto corrections = health::ComputeWeightCorrections(evidence);
  bool changed = false;
  for (std::size_t i = 0; i < slots.size(); ++i) {
    changed |= m_directory.SetCorrection(slots[i], corrections[i]);
  }
  return changed;
}

} // namespace wasabiloom::core
