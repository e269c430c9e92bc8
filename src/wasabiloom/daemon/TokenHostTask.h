/// Task that owns an entry host under the token policy and all its sockets.
#pragma once

#include "wasabiloom/daemon/FactsEndpoint.h"
#include "wasabiloom/daemon/FleetLink.h"
#include "wasabiloom/daemon/HttpServer.h"
#include "wasabiloom/daemon/LineBuffer.h"
#include "wasabiloom/daemon/TokenMetrics.h"
#include "wasabiloom/daemon/UdpSocket.h"
#include "wasabiloom/settings/TokenHostSettings.h"
#include "wasabiloom/token/TokenHost.h"

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>

#include <functional>
#include <memory>
#include <string>

namespace wasabiloom::daemon {

/// Platform-specific parts of the task.
struct TokenHostAdapter
{
  const packet::TokenCodec& m_codec;
  registry::RegistryClient& m_registry;
  /// Path of the readiness check.
  std::string m_readinessPath;
};

/// Drives a TokenHost from sockets and timers on the Qt event loop of the
/// thread that created it.
class TokenHostTask final
  : public QObject
  , private token::TokenEffects
{
public:
  /// The references in `aAdapter`, and `aLog`, must outlive the task.
  TokenHostTask(const settings::TokenHostSettings& aSettings,
                const TokenHostAdapter& aAdapter,
                LineBuffer& aLog);
  ~TokenHostTask() override;

  /// Binds the sockets, sends the first call on the registry and starts the
  /// timers. Errors: SocketFailed.
  base::Result<void> Start();

  /// Applies changed settings. Logs if some of them need a restart.
  void Reload(const settings::TokenHostSettings& aSettings);

  /// Fails the readiness check, forwards packets until none arrive or the grace
  /// period ends, and then calls `aOnStopped`.
  void BeginLeave(std::function<void()> aOnStopped);

private:
  void Send(const base::Endpoint& aTo,
            std::span<const std::byte> aBytes) override;
  void LogDecision(const token::Decision& aDecision) override;
  void LogStateChange(std::string_view aWhat,
                      const std::string& aDetail) override;

  void LogDetail(std::string_view aWhat, const std::string& aDetail) override;
  bool LogsDetails() const override;

  void OnReadable();
  void OnTick();
  void MakeCall(base::Instant aNow);
  void UpdateServing(base::Instant aNow);
  void NoteReady();
  void ContinueLeave(base::Instant aNow);
  HttpReply Answer(const std::string& aPath);
  void ReportMalformed(base::Instant aNow);

  settings::TokenHostSettings m_settings;
  TokenHostAdapter m_adapter;
  LineBuffer& m_log;
  token::TokenHost m_host;
  FactsEndpoint m_factsEndpoint;
  TokenMetrics m_metrics;
  FleetLink m_fleet;
  HttpServer m_server;
  std::unique_ptr<UdpSocket> m_socket;
  std::unique_ptr<QSocketNotifier> m_notifier;
  QTimer m_timer;
  base::Instant m_startedAt;
  base::Instant m_packetAt;
  base::Instant m_leaveSince;
  base::Instant m_reportedAt;
  std::uint64_t m_malformedReported = 0;
  bool m_wasReady = false;
  std::function<void()> m_onStopped;
};

} // namespace wasabiloom::daemon
