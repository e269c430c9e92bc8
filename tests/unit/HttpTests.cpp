#include "support/EventLoop.h"
#include "support/Problems.h"
#include "support/Section.h"
#include "wasabiloom/daemon/HttpClient.h"
#include "wasabiloom/daemon/HttpServer.h"

#include <QHostAddress>
#include <QTcpServer>
#include <gmock/gmock.h>

#include <optional>

namespace wasabiloom::tests {

using daemon::HttpAnswer;
using daemon::HttpClient;
using daemon::HttpServer;
using std::chrono::milliseconds;
using testing::HasSubstr;

namespace {

constexpr base::Ipv4Address kLocal{ 0x7f4d0501 };
constexpr milliseconds kTimeout{ 30'000 };

/// Answers whatever comes with the same bytes, then closes when told to.
class Speaker
{
public:
  Speaker(std::string aBytes, bool aCloses)
    : m_bytes(std::move(aBytes))
    , m_closes(aCloses)
  {
    RunUntil([] { return true; });
    QObject::connect(&m_server, &QTcpServer::newConnection, [this] {
      QTcpSocket* socket = m_server.nextPendingConnection();
      ++m_connections;
      QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] {
        socket->readAll();
        socket->write(m_bytes.data(), static_cast<qint64>(m_bytes.size()));
        if (m_closes) {
          socket->disconnectFromHost();
        }
      });
    });
    m_server.listen(QHostAddress(kLocal.m_bits));
  }

  base::Endpoint Address() const { return { kLocal, m_server.serverPort() }; }
  int Connections() const { return m_connections; }

private:
  std::string m_bytes;
  bool m_closes;
  int m_connections = 0;
  QTcpServer m_server;
};

HttpAnswer
Ask(HttpClient& aClient, milliseconds aTimeout = kTimeout)
{
  std::optional<HttpAnswer> answer;
  aClient.Get(
    "/x", aTimeout, [&](const HttpAnswer& aAnswer) { answer = aAnswer; });
  EXPECT_TRUE(RunUntil([&] { return answer.has_value(); }));
  return answer.value_or(HttpAnswer{});
}

HttpAnswer
AskOnce(const std::string& aBytes,
        bool aCloses,
        milliseconds aTimeout = kTimeout)
{
  const Speaker speaker(aBytes, aCloses);
  HttpClient client(speaker.Address());
  return Ask(client, aTimeout);
}

} // namespace

TEST(HttpClient, ReadsWholeAnswers)
{
  EXPECT_EQ(
    AskOnce("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false).m_body,
    "abc");
  EXPECT_EQ(AskOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                    false)
              .m_body,
            "abc");
  EXPECT_EQ(AskOnce("HTTP/1.1 200 OK\r\n\r\nabc", true).m_body, "abc");
  EXPECT_EQ(
    AskOnce("HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", false).m_status,
    410);
}

TEST(HttpClient, RefusesAnswersThatAreCutMalformedOrTooLarge)
{
  EXPECT_EQ(
    AskOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true).m_status,
    0);
  EXPECT_EQ(AskOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "9\r\nab",
                    true)
              .m_status,
            0);
  EXPECT_THAT(AskOnce("nonsense\r\n\r\n", false).m_problem,
              HasSubstr("malformed"));
  EXPECT_EQ(
    AskOnce("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nabc", false)
      .m_status,
    0);
  EXPECT_EQ(AskOnce("", true).m_status, 0);
}

TEST(HttpClient, TellsAnAnswerThatIsTooLarge)
{
  const std::string announced = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                std::to_string(daemon::kMaxBodyBytes + 1) +
                                "\r\n\r\nabc";
  EXPECT_TRUE(AskOnce(announced, false).m_isTooLarge);
  const std::string sent =
    "HTTP/1.1 200 OK\r\n\r\n" + std::string(daemon::kMaxBodyBytes + 1, 'x');
  EXPECT_TRUE(AskOnce(sent, true).m_isTooLarge);
  EXPECT_FALSE(AskOnce("nonsense\r\n\r\n", false).m_isTooLarge);
}

TEST(HttpClient, WaitsForALongAnswerWhileItKeepsArriving)
{
  // Guards against a host on a weak link that asks for the same long answer for
  // ever, as it takes longer than the timeout.
  constexpr int kParts = 8;
  const std::string part(65'536, 'x');
  const auto ask = [&](const std::string& aPart, int aPartsSent) {
    QTcpServer server;
    RunUntil([] { return true; });
    QTimer timer;
    QTcpSocket* socket = nullptr;
    int sent = 0;
    QObject::connect(&server, &QTcpServer::newConnection, [&] {
      socket = server.nextPendingConnection();
      const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: " +
        std::to_string(static_cast<std::size_t>(kParts) * aPart.size()) +
        "\r\n\r\n";
      socket->write(head.data(), static_cast<qint64>(head.size()));
      timer.start(100);
    });
    QObject::connect(&timer, &QTimer::timeout, [&] {
      if (sent++ < aPartsSent) {
        socket->write(aPart.data(), static_cast<qint64>(aPart.size()));
      }
    });
    server.listen(QHostAddress(kLocal.m_bits));
    HttpClient client({ kLocal, server.serverPort() });
    return Ask(client, milliseconds(250));
  };
  EXPECT_EQ(ask(part, kParts).m_body.size(), kParts * part.size());

  Section("but not when it falls silent", [&] {
    EXPECT_THAT(ask(part, kParts - 1).m_problem, HasSubstr("in time"));
  });
  Section("nor when it only trickles", [&] {
    EXPECT_THAT(ask("x", kParts).m_problem, HasSubstr("in time"));
  });
}

TEST(HttpClient, GivesUpOnSilence)
{
  EXPECT_THAT(AskOnce("", false, milliseconds(50)).m_problem,
              HasSubstr("in time"));
}

TEST(HttpClient, KeepsAConnectionThatAnswersAndReplacesOneThatFails)
{
  Section("kept", [] {
    const Speaker speaker("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
                          false);
    HttpClient client(speaker.Address());
    Ask(client);
    EXPECT_EQ(Ask(client).m_status, 200);
    EXPECT_EQ(speaker.Connections(), 1);
  });
  Section("closed while idle", [] {
    const Speaker speaker("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
                          true);
    HttpClient client(speaker.Address());
    EXPECT_EQ(Ask(client).m_status, 200);
    EXPECT_EQ(Ask(client).m_status, 200);
    EXPECT_EQ(speaker.Connections(), 2);
  });
  Section("more than was asked for", [] {
    const Speaker speaker("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc",
                          false);
    HttpClient client(speaker.Address());
    Ask(client);
    EXPECT_EQ(Ask(client).m_body, "a");
    EXPECT_EQ(speaker.Connections(), 2);
  });
}

TEST(HttpServer, AnswersNowOrLater)
{
  RunUntil([] { return true; });
  HttpServer::Responder later;
  HttpServer server(
    [&](const std::string& aPath, const HttpServer::Responder& aReply) {
      if (aPath == "/x") {
        later = aReply;
      } else {
        aReply({ 404, "text/plain", "" });
      }
    });
  const base::Endpoint address{ kLocal, 47'801 };
  ValueOf([&]() -> base::Result<int> {
    BOOST_LEAF_CHECK(server.Listen(address));
    return 0;
  });
  HttpClient client(address);
  std::optional<HttpAnswer> answer;
  client.Get(
    "/x", kTimeout, [&](const HttpAnswer& aAnswer) { answer = aAnswer; });
  ASSERT_TRUE(RunUntil([&] { return later != nullptr; }));
  EXPECT_FALSE(answer);
  later({ 200, "text/plain", "done" });
  ASSERT_TRUE(RunUntil([&] { return answer.has_value(); }));
  EXPECT_EQ(answer->m_body, "done");

  Section("a reply to a caller that left harms nothing", [&] {
    {
      HttpClient gone(address);
      later = nullptr;
      gone.Get("/x", kTimeout, [](const HttpAnswer&) {});
      ASSERT_TRUE(RunUntil([&] { return later != nullptr; }));
    }
    int turns = 0;
    RunUntil([&] { return ++turns > 5; });
    later({ 200, "text/plain", "done" });
    later = nullptr;
  });
  Section("bad requests are refused", [&] {
    QTcpSocket socket;
    socket.connectToHost(QHostAddress(kLocal.m_bits), address.m_port);
    socket.write("nonsense\r\n\r\n");
    ASSERT_TRUE(RunUntil([&] { return socket.bytesAvailable() > 0; }));
    EXPECT_THAT(socket.readAll().toStdString(), HasSubstr(" 400 "));
  });
}

} // namespace wasabiloom::tests
