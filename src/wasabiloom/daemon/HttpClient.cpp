#include "wasabiloom/daemon/HttpClient.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <locale>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace wasabiloom::daemon {

namespace {

namespace http = boost::beast::http;

/// Time without an acknowledgement after which a connection has failed.
constexpr int kUserTimeoutMs = 1500;
constexpr int kKeepIdleS = 1;
constexpr int kKeepIntervalS = 1;
constexpr int kKeepProbes = 2;

void
SetOption(int aDescriptor, int aLevel, int aName, int aValue)
{
  // If the system lacks the option, the timeout of the call still applies.
  (void)setsockopt(aDescriptor, aLevel, aName, &aValue, sizeof(aValue));
}

void
WatchForSilence(int aDescriptor)
{
  SetOption(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepIdleS);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepIntervalS);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepProbes);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

} // namespace

/// Parser of one response.
struct HttpClient::Exchange
{
  http::response_parser<http::string_body> m_parser;
  std::string m_pending;

  Exchange()
  {
    m_parser.body_limit(kMaxBodyBytes);
    m_parser.eager(true);
  }

  /// Returns the response. Precondition: it is complete.
  HttpAnswer Answer() const
  {
    const auto& message = m_parser.get();
    HttpAnswer answer{ static_cast<int>(message.result_int()),
                       message.body(),
                       "" };
    for (const auto& field : message) {
      std::string name(field.name_string());
      boost::algorithm::to_lower(name, std::locale::classic());
      answer.m_headers.try_emplace(std::move(name), field.value());
    }
    return answer;
  }
};

std::string_view
HttpAnswer::Header(std::string_view aName) const
{
  const auto found = m_headers.find(aName);
  return found == m_headers.end() ? std::string_view{} : found->second;
}

HttpClient::HttpClient(const base::Endpoint& aServer)
  : m_server(aServer)
{
  m_timer.setSingleShot(true);
  m_timer.setTimerType(Qt::PreciseTimer);
  connect(
    &m_timer, &QTimer::timeout, this, [this] { Fail("no answer in time"); });
}

HttpClient::~HttpClient()
{
  if (m_socket) {
    m_socket->disconnect(this);
  }
}

void
HttpClient::Get(const std::string& aTarget,
                base::Duration aTimeout,
                std::function<void(const HttpAnswer&)> aOnAnswer)
{
  m_onAnswer = std::move(aOnAnswer);
  m_request = "GET " + aTarget + " HTTP/1.1\r\nHost: " + ToString(m_server) +
              "\r\nAccept: application/json\r\n\r\n";
  m_exchange = std::make_unique<Exchange>();
  m_timeout = std::chrono::ceil<std::chrono::milliseconds>(aTimeout);
  m_received = 0;
  m_sinceRequest.start();
  m_timer.start(m_timeout);
  m_isReused = m_socket && m_socket->state() == QAbstractSocket::ConnectedState;
  if (m_isReused) {
    SendRequest();
  } else {
    Connect();
  }
}

void
HttpClient::Connect()
{
  if (m_socket) {
    DropSocket();
  }
  m_socket = std::make_unique<QTcpSocket>();
  m_socket->setProxy(QNetworkProxy::NoProxy);
  connect(
    m_socket.get(), &QTcpSocket::connected, this, [this] { SendRequest(); });
  connect(
    m_socket.get(), &QTcpSocket::readyRead, this, [this] { OnReadable(); });
  connect(
    m_socket.get(), &QTcpSocket::errorOccurred, this, [this] { OnClosed(); });
  m_socket->connectToHost(QHostAddress(m_server.m_address.m_bits),
                          m_server.m_port);
}

void
HttpClient::SendRequest()
{
  m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  WatchForSilence(static_cast<int>(m_socket->socketDescriptor()));
  m_socket->write(m_request.data(), static_cast<qint64>(m_request.size()));
}

void
HttpClient::OnReadable()
{
  if (!m_onAnswer) {
    // Data without a request: the connection must not be used again.
    m_socket->abort();
    return;
  }
  const std::string received = m_socket->readAll().toStdString();
  ExtendTime(static_cast<std::int64_t>(received.size()));
  m_exchange->m_pending += received;
  boost::system::error_code failure;
  while (!m_exchange->m_pending.empty() && !m_exchange->m_parser.is_done()) {
    const std::size_t used = m_exchange->m_parser.put(
      boost::asio::buffer(m_exchange->m_pending), failure);
    m_exchange->m_pending.erase(0, used);
    if (failure == http::error::need_more) {
      return;
    }
    if (failure == http::error::body_limit) {
      Finish({ 0, "", "answer too large", true }, false);
      return;
    }
    if (failure) {
      Fail("malformed answer: " + failure.message());
      return;
    }
  }
  if (m_exchange->m_parser.is_done()) {
    const bool keep =
      m_exchange->m_parser.get().keep_alive() && m_exchange->m_pending.empty();
    Finish(m_exchange->Answer(), keep);
  }
}

void
HttpClient::OnClosed()
{
  const std::string problem = m_socket->errorString().toStdString();
  if (!m_onAnswer) {
    return;
  }
  boost::system::error_code failure;
  if (m_exchange->m_parser.got_some()) {
    m_exchange->m_parser.put_eof(failure);
    if (!failure && m_exchange->m_parser.is_done()) {
      Finish(m_exchange->Answer(), false);
      return;
    }
  }
  if (m_isReused && !m_exchange->m_parser.got_some()) {
    // The server has closed the idle connection. A GET can be repeated.
    m_isReused = false;
    Connect();
    return;
  }
  Fail(problem);
}

void
HttpClient::ExtendTime(std::int64_t aBytes)
{
  m_received += aBytes;
  const std::chrono::milliseconds now{ m_sinceRequest.elapsed() };
  const std::chrono::milliseconds silence =
    std::chrono::ceil<std::chrono::milliseconds>(kMaxSilence);
  const std::chrono::milliseconds atMinRate =
    m_timeout + std::chrono::milliseconds(m_received / kMinBytesPerMs);
  const auto end = std::max(m_timeout, std::min(now + silence, atMinRate));
  m_timer.start(std::max(end - now, std::chrono::milliseconds::zero()));
}

void
HttpClient::DropSocket()
{
  m_socket->disconnect(this);
  m_socket->abort();
  // This method may be called from a signal of the socket.
  m_socket.release()->deleteLater();
}

void
HttpClient::Fail(const std::string& aProblem)
{
  Finish({ 0, "", aProblem }, false);
}

void
HttpClient::Finish(const HttpAnswer& aAnswer, bool aKeep)
{
  m_timer.stop();
  if (!aKeep && m_socket) {
    DropSocket();
  }
  const auto onAnswer = std::move(m_onAnswer);
  m_onAnswer = nullptr;
  onAnswer(aAnswer);
}

} // namespace wasabiloom::daemon
