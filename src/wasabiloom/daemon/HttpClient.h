/// HTTP client for small calls to one server, on Qt and Boost.Beast.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Time.h"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <functional>
#include <memory>
#include <string>

namespace wasabiloom::daemon {

/// Answer of a server, or why there was none.
struct HttpAnswer
{
  /// 0 when no whole answer came.
  int m_status = 0;
  std::string m_body;
  std::string m_problem;
};

/// Longest body that is accepted, in bytes.
constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;

/// One GET at a time over one connection, which is kept while it answers. A
/// connection that fails, or whose answer is late, is dropped for good. Lives
/// on the thread that made it.
class HttpClient final : public QObject
{
public:
  explicit HttpClient(const base::Endpoint& aServer);
  ~HttpClient() override;

  /// Calls `aOnAnswer` once, later. Precondition: no call is under way.
  void Get(const std::string& aTarget,
           base::Duration aTimeout,
           std::function<void(const HttpAnswer&)> aOnAnswer);

  /// Whether a call is under way.
  bool IsBusy() const { return m_onAnswer != nullptr; }

private:
  struct Exchange;

  void Connect();
  void SendRequest();
  void OnReadable();
  void OnClosed();
  void DropSocket();
  void Finish(const HttpAnswer& aAnswer, bool aKeep);
  void Fail(const std::string& aProblem);

  base::Endpoint m_server;
  std::unique_ptr<QTcpSocket> m_socket;
  std::unique_ptr<Exchange> m_exchange;
  QTimer m_timer;
  std::string m_request;
  bool m_isReused = false;
  std::function<void(const HttpAnswer&)> m_onAnswer;
};

} // namespace wasabiloom::daemon
