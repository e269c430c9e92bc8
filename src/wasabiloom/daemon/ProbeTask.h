/// Reads the status pages of backend servers over HTTP.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/health/TargetReport.h"

#include <QNetworkAccessManager>
#include <QObject>

#include <functional>
#include <string_view>

namespace wasabiloom::daemon {

/// Called with the service and the report of the backend server.
using ReportHandler =
  std::function<void(const steering::ServiceId&, const health::TargetReport&)>;

/// Parses a status page: a JSON object with "state" ("warm" or "cold") and
/// "flows". Returns false if `aPage` is anything else. Thread safe.
bool
ReadStatusPage(std::string_view aPage, health::TargetReport& aReport);

/// HTTP client on the Qt event loop of the thread that created it. A backend
/// server that sends no valid page in time yields no report.
class ProbeTask final : public QObject
{
public:
  explicit ProbeTask(ReportHandler aOnReport);

  /// Requests the page once.
  void Probe(const steering::ServiceId& aService,
             const steering::TargetId& aTarget,
             const base::Endpoint& aStatus);

private:
  ReportHandler m_onReport;
  QNetworkAccessManager m_client;
};

} // namespace wasabiloom::daemon
