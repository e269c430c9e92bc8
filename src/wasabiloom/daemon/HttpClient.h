/// HTTP client for small calls to one server, on Qt and Boost.Beast.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Time.h"

#include <QElapsedTimer>
#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace wasabiloom::daemon {

/// Response of a server, or the reason why there is none.
struct HttpAnswer
{
  /// HTTP status; 0 if no complete response was received.
  int m_status = 0;
  std::string m_body;
  std::string m_problem;
  /// Whether the response was refused as its body is longer than kMaxBodyBytes.
  bool m_isTooLarge = false;
  /// Names in lower case and values of the response's headers. Of several with
  /// one name, the first.
  std::map<std::string, std::string, std::less<>> m_headers{};

  /// Returns the value of the header `aName`, in lower case; empty if there is
  /// none.
  std::string_view Header(std::string_view aName) const;
};

/// Maximum length of an accepted body, in bytes.
constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;

/// Slowest rate at which a response may arrive once its timeout has passed, in
/// bytes per millisecond; 1 Mbit/s.
constexpr std::int64_t kMinBytesPerMs = 125;

/// Longest silence within a response once its timeout has passed.
constexpr base::Duration kMaxSilence = std::chrono::milliseconds(500);

/// Sends one GET request at a time over a persistent connection. A connection
/// that fails, or whose response is late, is closed and not used again. A long
/// response is not late while it keeps arriving; see kMinBytesPerMs and
/// kMaxSilence. Use it on the thread that created it.
class HttpClient final : public QObject
{
public:
  explicit HttpClient(const base::Endpoint& aServer);
  ~HttpClient() override;

  /// Calls `aOnAnswer` once, after this method has returned. Precondition: no
  /// call is in progress.
  void Get(const std::string& aTarget,
           base::Duration aTimeout,
           std::function<void(const HttpAnswer&)> aOnAnswer);

  /// Whether a call is in progress.
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
  /// Extends the time for the response after `aBytes` more have arrived.
  void ExtendTime(std::int64_t aBytes);

  base::Endpoint m_server;
  std::unique_ptr<QTcpSocket> m_socket;
  std::unique_ptr<Exchange> m_exchange;
  QTimer m_timer;
  QElapsedTimer m_sinceRequest;
  std::chrono::milliseconds m_timeout{ 0 };
  std::int64_t m_received = 0;
  std::string m_request;
  bool m_isReused = false;
  std::function<void(const HttpAnswer&)> m_onAnswer;
};

} // namespace wasabiloom::daemon
