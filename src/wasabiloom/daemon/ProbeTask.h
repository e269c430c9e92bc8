/// Asks backend servers how they are, over HTTP.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/health/TargetReport.h"

#include <QNetworkAccessManager>
#include <QObject>

#include <functional>
#include <string_view>

namespace wasabiloom::daemon {

/// Called with the service and what the backend server said.
using ReportHandler =
  std::function<void(const steering::ServiceId&, const health::TargetReport&)>;

/// Reads a status page: a JSON object with "state" ("warm" or "cold") and
/// "flows". False when `aPage` is anything else. Thread safe.
bool
ReadStatusPage(std::string_view aPage, health::TargetReport& aReport);

/// HTTP client on the Qt event loop of the thread it lives in. A backend
/// server that does not answer in time, or not in that form, gives no report.
class ProbeTask final : public QObject
{
public:
  explicit ProbeTask(ReportHandler aOnReport);

  /// Asks once.
  void Probe(const steering::ServiceId& aService,
             const steering::TargetId& aTarget,
             const base::Endpoint& aStatus);

private:
  ReportHandler m_onReport;
  QNetworkAccessManager m_client;
};

} // namespace wasabiloom::daemon
