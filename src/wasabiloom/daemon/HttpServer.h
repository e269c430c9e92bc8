/// HTTP server for small responses: readiness, metrics, facts for peers.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Result.h"

#include <QObject>
#include <QTcpServer>

#include <functional>
#include <string>

class QTcpSocket;

namespace wasabiloom::daemon {

/// Response of a handler.
struct HttpReply
{
  int m_status = 200;
  std::string m_type = "text/plain";
  std::string m_body;
  /// Further headers by name.
  std::map<std::string, std::string> m_headers{};
};

/// Answers GET requests, one at a time per connection. Requests with a body,
/// headers that are too long and connections above the limit are refused. Use
/// it on the thread that created it.
class HttpServer final : public QObject
{
public:
  /// Sends the response to one request. Has no effect if the client has
  /// disconnected.
  using Responder = std::function<void(const HttpReply&)>;

  /// Handles a request for one path. The response may be sent later; the next
  /// request on the connection waits for it.
  using Handler = std::function<void(const std::string&, const Responder&)>;

  explicit HttpServer(Handler aHandler);
  ~HttpServer() override;

  /// Listens on `aLocal`. May be called for several addresses. Errors:
  /// SocketFailed.
  base::Result<void> Listen(const base::Endpoint& aLocal);

private:
  class Connection;

  void OnConnection(QTcpServer& aServer);

  Handler m_handler;
  int m_connections = 0;
};

/// Maximum number of connections of one server.
constexpr int kMaxHttpConnections = 160;

} // namespace wasabiloom::daemon
