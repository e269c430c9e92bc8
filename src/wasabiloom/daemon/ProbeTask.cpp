#include "wasabiloom/daemon/ProbeTask.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

namespace wasabiloom::daemon {

namespace {

constexpr int kTimeoutMs = 1000;
constexpr qint64 kMaxPageBytes = 4096;

} // namespace

bool
ReadStatusPage(std::string_view aPage, health::TargetReport& aReport)
{
  const QByteArray bytes(aPage.data(), static_cast<qsizetype>(aPage.size()));
  const QJsonObject page = QJsonDocument::fromJson(bytes).object();
  const QString state = page["state"].toString();
  const int flows = page["flows"].toInt(-1);
  if ((state != "warm" && state != "cold") || flows < 0) {
    return false;
  }
  aReport.m_flows = static_cast<std::uint32_t>(flows);
  aReport.m_warmupState =
    state == "cold" ? health::WarmupState::Cold : health::WarmupState::Warm;
  return true;
}

ProbeTask::ProbeTask(ReportHandler aOnReport)
  : m_onReport(std::move(aOnReport))
{
}

void
ProbeTask::Probe(const steering::ServiceId& aService,
                 const steering::TargetId& aTarget,
                 const base::Endpoint& aStatus)
{
  const QString url =
    QString::fromStdString("http://" + ToString(aStatus) + "/");
  QNetworkRequest request{ QUrl(url) };
  request.setTransferTimeout(kTimeoutMs);
  QNetworkReply* reply = m_client.get(request);
  connect(
    reply, &QNetworkReply::finished, this, [this, reply, aService, aTarget] {
      health::TargetReport report;
      report.m_target = aTarget;
      const QByteArray page = reply->read(kMaxPageBytes);
      const std::string_view text(page.constData(),
                                  static_cast<std::size_t>(page.size()));
      if (reply->error() == QNetworkReply::NoError &&
          ReadStatusPage(text, report)) {
        m_onReport(aService, report);
      }
      reply->deleteLater();
    });
}

} // namespace wasabiloom::daemon
