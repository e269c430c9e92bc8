#include "wasabiloom/daemon/HttpServer.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/http.hpp>

#include <sstream>

namespace wasabiloom::daemon {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kMaxHeadBytes = 8192;
constexpr int kIdleMs = 30'000;
constexpr int kBadRequest = 400;

std::string
Write(const HttpReply& aReply, bool aKeep)
{
  http::response<http::string_body> response;
  response.result(static_cast<unsigned>(aReply.m_status));
  response.version(11);
  response.set(http::field::content_type, aReply.m_type);
  for (const auto& [name, value] : aReply.m_headers) {
    response.set(name, value);
  }
  response.body() = aReply.m_body;
  response.keep_alive(aKeep);
  response.prepare_payload();
  std::ostringstream text;
  text << response;
  return text.str();
}

} // namespace

/// One connection. It is deleted with its socket.
class HttpServer::Connection final : public QObject
{
public:
  Connection(QTcpSocket* aSocket, HttpServer& aServer)
    : QObject(aSocket)
    , m_socket(aSocket)
    , m_server(aServer)
  {
    ++m_server.m_connections;
    m_idle.setSingleShot(true);
    connect(aSocket, &QTcpSocket::readyRead, this, [this] { OnReadable(); });
    connect(aSocket, &QTcpSocket::disconnected, aSocket, &QObject::deleteLater);
    connect(&m_idle, &QTimer::timeout, aSocket, [aSocket] {
      aSocket->abort();
      aSocket->deleteLater();
    });
    m_idle.start(kIdleMs);
    NewRequest();
  }

  ~Connection() override { --m_server.m_connections; }

private:
  using Parser = http::request_parser<http::empty_body>;

  void NewRequest()
  {
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(kMaxHeadBytes);
    m_parser->eager(true);
  }

  void OnReadable()
  {
    m_idle.start(kIdleMs);
    m_pending += m_socket->readAll().toStdString();
    if (m_pending.size() > kMaxHeadBytes) {
      Refuse("request too large");
      return;
    }
    ReadRequests();
  }

  void ReadRequests()
  {
    while (!m_isAnswering && !m_pending.empty()) {
      boost::system::error_code failure;
      const std::size_t used =
        m_parser->put(boost::asio::buffer(m_pending), failure);
      m_pending.erase(0, used);
      if (failure == http::error::need_more) {
        return;
      }
      if (failure) {
        Refuse(failure.message());
        return;
      }
      if (m_parser->is_done()) {
        Answer();
      }
    }
  }

  void Refuse(const std::string& aWhy)
  {
    Send({ kBadRequest, "text/plain", aWhy }, false);
  }

  void Answer()
  {
    m_isAnswering = true;
    const bool keep = m_parser->get().keep_alive();
    const std::string target(m_parser->get().target());
    NewRequest();
    const QPointer<Connection> self(this);
    m_server.m_handler(target, [self, keep](const HttpReply& aReply) {
      if (self) {
        self->m_isAnswering = false;
        self->Send(aReply, keep);
        self->ReadRequests();
      }
    });
  }

  void Send(const HttpReply& aReply, bool aKeep)
  {
    const std::string text = Write(aReply, aKeep);
    m_socket->write(text.data(), static_cast<qint64>(text.size()));
    if (!aKeep) {
      m_pending.clear();
      m_socket->disconnectFromHost();
    }
  }

  QTcpSocket* m_socket;
  HttpServer& m_server;
  QTimer m_idle;
  std::string m_pending;
  bool m_isAnswering = false;
  std::unique_ptr<Parser> m_parser;
};

HttpServer::HttpServer(Handler aHandler)
  : m_handler(std::move(aHandler))
{
}

HttpServer::~HttpServer()
{
  qDeleteAll(findChildren<QTcpServer*>());
}

base::Result<void>
HttpServer::Listen(const base::Endpoint& aLocal)
{
  auto* server = new QTcpServer(this);
  server->setProxy(QNetworkProxy::NoProxy);
  connect(server, &QTcpServer::newConnection, this, [this, server] {
    OnConnection(*server);
  });
  if (!server->listen(QHostAddress(aLocal.m_address.m_bits), aLocal.m_port)) {
    return base::Fail(base::ResultCode::SocketFailed,
                      "TCP " + ToString(aLocal) + ": " +
                        server->errorString().toStdString());
  }
  return {};
}

void
HttpServer::OnConnection(QTcpServer& aServer)
{
  while (QTcpSocket* socket = aServer.nextPendingConnection()) {
    if (m_connections >= kMaxHttpConnections) {
      socket->abort();
      socket->deleteLater();
      continue;
    }
    new Connection(socket, *this);
  }
}

} // namespace wasabiloom::daemon
