/// Probes backend servers, shares what they say, and corrects their shares.
#pragma once

#include "wasabiloom/core/Effects.h"
#include "wasabiloom/health/TargetReport.h"
#include "wasabiloom/peer/HostView.h"
#include "wasabiloom/peer/Outbox.h"
#include "wasabiloom/steering/TargetDirectory.h"

#include <map>
#include <vector>

namespace wasabiloom::core {

/// The backend servers of one service as their reports and the traffic show
/// them. Each backend server is probed by one host, chosen by hash, which
/// tells the others. One thread at a time.
class HealthMonitor
{
public:
  /// The references must outlive the monitor.
  HealthMonitor(const steering::ServiceId& aService,
                steering::TargetDirectory& aDirectory,
                const peer::HostView& aView,
                peer::Outbox& aOutbox,
                Effects& aEffects);

  /// Port of the status endpoint; 0 stops probing.
  void SetStatusPort(std::uint16_t aPort) { m_statusPort = aPort; }

  /// A status endpoint has answered.
  void OnReport(const health::TargetReport& aReport, base::Instant aNow);

  /// A peer tells what status endpoints have answered.
  void OnPeerReports(const std::vector<health::TargetReport>& aReports,
                     base::Instant aNow);

  /// Sends probes and reports that are due.
  void Tick(base::Instant aNow);

  /// Whether corrections should be made now; at most every few seconds.
  bool IsCorrectionDue(base::Instant aNow);

  /// Corrects shares. `aSeen` holds, by slot, the flows this host has seen
  /// lately. Returns whether any share changed.
  bool Correct(const std::vector<std::uint32_t>& aSeen, base::Instant aNow);

private:
  struct Known
  {
    health::TargetReport m_report;
    base::Instant m_at;
  };

  void SendProbes();
  void TellPeers();

  steering::ServiceId m_service;
  steering::TargetDirectory& m_directory;
  const peer::HostView& m_view;
  peer::Outbox& m_outbox;
  Effects& m_effects;
  std::uint16_t m_statusPort = 0;
  std::map<steering::TargetId, Known> m_known;
  std::vector<health::TargetReport> m_untold;
  base::Instant m_probedAt;
  base::Instant m_toldAt;
  base::Instant m_correctedAt;
};

} // namespace wasabiloom::core
