/// HTTP server for small answers: readiness, metrics, facts for peers.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Result.h"

#include <QObject>
#include <QTcpServer>

#include <functional>
#include <string>

class QTcpSocket;

namespace wasabiloom::daemon {

/// What a handler answers.
struct HttpReply
{
  int m_status = 200;
  std::string m_type = "text/plain";
  std::string m_body;
};

/// Answers GET requests, one after another on each connection. Requests with
/// a body, too long heads and connections beyond the limit are refused. Lives
/// on the thread that made it.
class HttpServer final : public QObject
{
public:
  /// Takes the reply to one request; does nothing when the caller has left.
  using Responder = std::function<void(const HttpReply&)>;

  /// Answers for one path, now or later. The next request of the connection
  /// waits for the reply.
  using Handler = std::function<void(const std::string&, const Responder&)>;

  explicit HttpServer(Handler aHandler);
  ~HttpServer() override;

  /// Listens on `aLocal`; may be called for several. Errors: SocketFailed.
  base::Result<void> Listen(const base::Endpoint& aLocal);

private:
  class Connection;

  void OnConnection(QTcpServer& aServer);

  Handler m_handler;
  int m_connections = 0;
};

/// Most connections that one server holds.
constexpr int kMaxHttpConnections = 160;

} // namespace wasabiloom::daemon
