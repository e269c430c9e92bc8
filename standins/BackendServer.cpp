/// Stand-in for a backend server: a few slots for requests, a limit on open
/// flows, a cold start with one slot, a status page over HTTP. Writes what it
/// ran to a report file when it is stopped.

#include "Support.h"

#include "wasabiloom/daemon/SignalWatch.h"
#include "wasabiloom/packet/IpWriter.h"
#include "wasabiloom/wire/EnvelopeCodec.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QSocketNotifier>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <map>
#include <set>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace {

namespace options = boost::program_options;
namespace base = wasabiloom::base;
namespace packet = wasabiloom::packet;
namespace request = wasabiloom::request;
namespace wire = wasabiloom::wire;

using wasabiloom::daemon::Received;
using wasabiloom::daemon::UdpSocket;

constexpr std::uint32_t kAnswerParts = 3;
constexpr std::size_t kColdSlots = 1;

struct Config
{
  std::string m_name;
  std::string m_service;
  base::Endpoint m_serviceAddress;
  std::uint16_t m_returnPort = 0;
  std::size_t m_slots = 0;
  std::size_t m_maxFlows = 0;
  int m_workMs = 0;
  int m_coldMs = 0;
};

struct Totals
{
  std::uint64_t m_opened = 0;
  std::uint64_t m_unknownFlow = 0;
  std::uint64_t m_foreign = 0;
  std::uint64_t m_shed = 0;
  std::vector<std::string> m_ran;
};

class BackendServer
{
public:
  BackendServer(const Config& aConfig, UdpSocket& aSocket)
    : m_config(aConfig)
    , m_socket(aSocket)
  {
    m_age.start();
  }

  void OnConnectionsReadable()
  {
    for (const Received& datagram : m_socket.Receive()) {
      OnPacket(datagram.m_bytes);
    }
  }

  void OnRequestsReadable()
  {
    for (const Received& datagram : m_socket.Receive()) {
      base::Handle(
        [&]() -> base::Result<void> {
          BOOST_LEAF_AUTO(envelope, wire::DecodeEnvelope(datagram.m_bytes));
          OnEnvelope(envelope, datagram.m_from);
          return {};
        },
        [](const base::Problem&) {});
    }
  }

  std::string Report() const
  {
    std::ostringstream text;
    text << "backend " << m_config.m_name << " opened " << m_totals.m_opened
         << " unknown_flow " << m_totals.m_unknownFlow << " foreign "
         << m_totals.m_foreign << " shed " << m_totals.m_shed << "\n";
    for (const std::string& id : m_totals.m_ran) {
      text << "ran " << id << "\n";
    }
    return text.str();
  }

  std::string StatusJson() const
  {
    std::ostringstream text;
    text << "{\"state\":\"" << (IsCold() ? "cold" : "warm")
         << "\",\"flows\":" << m_flows.size() << ",\"busy\":" << m_busy.size()
         << ",\"slots\":" << m_config.m_slots << "}";
    return text.str();
  }

private:
  bool IsCold() const { return m_age.elapsed() < m_config.m_coldMs; }

  std::size_t FreeSlots() const
  {
    const std::size_t slots = IsCold() ? kColdSlots : m_config.m_slots;
    return slots > m_busy.size() ? slots - m_busy.size() : 0;
  }

  void OnPacket(std::span<const std::byte> aBytes)
  {
    const packet::ParsedPacket parsed = packet::ParsePacket(aBytes);
    const packet::FlowKey& flow = parsed.m_view.m_flow;
    if (parsed.m_code != base::ResultCode::Ok ||
        flow.m_service.m_endpoint != m_config.m_serviceAddress) {
      ++m_totals.m_foreign;
      return;
    }
    if (parsed.m_view.m_opens && m_flows.size() < m_config.m_maxFlows) {
      m_totals.m_opened += m_flows.insert(flow).second ? 1 : 0;
    }
    if (!m_flows.contains(flow)) {
      ++m_totals.m_unknownFlow;
      Reply(flow, packet::TcpKind::Reset, "");
      return;
    }
    if (parsed.m_view.m_closes) {
      m_flows.erase(flow);
      return;
    }
    Reply(flow, packet::TcpKind::Data, m_config.m_name);
  }

  void Reply(const packet::FlowKey& aFlow,
             packet::TcpKind aKind,
             const std::string& aPayload)
  {
    const auto bytes = packet::WriteTcp(aFlow.m_service.m_endpoint,
                                        aFlow.m_caller,
                                        aKind,
                                        standins::AsBytes(aPayload));
    m_socket.Send(standins::AsText(bytes),
                  { aFlow.m_caller.m_address, m_config.m_returnPort });
  }

  void OnEnvelope(const request::Envelope& aEnvelope,
                  const base::Endpoint& aFrom)
  {
    if (aEnvelope.m_service != m_config.m_service) {
      ++m_totals.m_foreign;
      return;
    }
    if (aEnvelope.m_kind == request::EnvelopeKind::Cancel) {
      m_busy.erase(aEnvelope.m_id);
    } else if (aEnvelope.m_kind == request::EnvelopeKind::Request) {
      OnRequest(aEnvelope, aFrom);
    }
  }

  void OnRequest(const request::Envelope& aEnvelope,
                 const base::Endpoint& aFrom)
  {
    const bool late = aEnvelope.m_timeout.count() < m_config.m_workMs;
    if (late || FreeSlots() == 0) {
      ++m_totals.m_shed;
      request::Envelope refusal = aEnvelope;
      refusal.m_kind = request::EnvelopeKind::Refusal;
      refusal.m_code =
        late ? base::ResultCode::DeadlinePassed : base::ResultCode::NoCapacity;
      refusal.m_body.clear();
      m_socket.Send(wire::EncodeEnvelope(refusal), aFrom);
      return;
    }
    m_busy.insert(aEnvelope.m_id);
    m_totals.m_ran.push_back(aEnvelope.m_body);
    QTimer::singleShot(m_config.m_workMs,
                       [this, aEnvelope, aFrom] { Answer(aEnvelope, aFrom); });
  }

  void Answer(const request::Envelope& aEnvelope, const base::Endpoint& aTo)
  {
    if (m_busy.erase(aEnvelope.m_id) == 0) {
      return;
    }
    request::Envelope answer = aEnvelope;
    answer.m_kind = request::EnvelopeKind::Answer;
    answer.m_partCount = kAnswerParts;
    for (std::uint32_t part = 0; part < kAnswerParts; ++part) {
      answer.m_partIndex = part;
      m_socket.Send(wire::EncodeEnvelope(answer), aTo);
    }
  }

  Config m_config;
  UdpSocket& m_socket;
  QElapsedTimer m_age;
  std::set<packet::FlowKey> m_flows;
  std::set<std::string> m_busy;
  Totals m_totals;
};

/// Answers every HTTP request with the server's status.
void
ServeStatus(QTcpServer& aServer, const BackendServer& aBackend)
{
  QObject::connect(&aServer, &QTcpServer::newConnection, [&] {
    QTcpSocket* client = aServer.nextPendingConnection();
    QObject::connect(client, &QTcpSocket::readyRead, [client, &aBackend] {
      client->readAll();
      const std::string body = aBackend.StatusJson();
      const std::string reply =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Connection: close\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
      client->write(reply.c_str());
      client->disconnectFromHost();
    });
    QObject::connect(
      client, &QTcpSocket::disconnected, client, &QObject::deleteLater);
  });
}

Config
MakeConfig(const standins::Options& aChosen)
{
  Config config;
  config.m_name = aChosen.Text("name");
  config.m_service = aChosen.Text("service");
  config.m_serviceAddress = aChosen.Address("service-address");
  config.m_returnPort =
    static_cast<std::uint16_t>(aChosen.Number("return-port"));
  config.m_slots = static_cast<std::size_t>(aChosen.Number("slots"));
  config.m_maxFlows = static_cast<std::size_t>(aChosen.Number("max-flows"));
  config.m_workMs = static_cast<int>(aChosen.Number("work-ms"));
  config.m_coldMs = static_cast<int>(aChosen.Number("cold-ms"));
  return config;
}

int
Serve(int aCount, char** aWords)
{
  const QCoreApplication application(aCount, aWords);
  options::options_description known("standin_backend_server");
  const auto text = [] { return options::value<std::string>()->required(); };
  const auto number = [](double aDefault) {
    return options::value<double>()->default_value(aDefault);
  };
  known.add_options()("name", text(), "name")(
    "service", text(), "name of the service")(
    "service-address", text(), "address that callers use")(
    "listen", text(), "A.B.C.D:PORT, as in the bundle")(
    "mode", text(), "connections or requests")(
    "report", text(), "file to write at the end")(
    "slots", number(2), "requests at once")(
    "max-flows", number(2000), "open flows")(
    "work-ms", number(20), "time of one request")(
    "cold-ms", number(0), "length of the cold start")(
    "status-port", number(8080), "HTTP status")(
    "return-port", number(6080), "port of the callers' network");
  const standins::Options chosen(aCount, aWords, known);
  const wasabiloom::daemon::SignalWatch signals(
    [&] { QCoreApplication::quit(); });
  const base::Endpoint listen = chosen.Address("listen");
  const auto socket = standins::OpenUdp(listen);
  BackendServer backend(MakeConfig(chosen), *socket);
  const bool connections = chosen.Text("mode") == "connections";
  const QSocketNotifier notifier(socket->Descriptor(), QSocketNotifier::Read);
  QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
    if (connections) {
      backend.OnConnectionsReadable();
    } else {
      backend.OnRequestsReadable();
    }
  });
  QTcpServer status;
  ServeStatus(status, backend);
  status.listen(QHostAddress(listen.m_address.m_bits),
                static_cast<quint16>(chosen.Number("status-port")));
  QCoreApplication::exec();
  standins::WriteFileOrThrow(chosen.Text("report"), backend.Report());
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  return standins::RunMain("standin_backend_server",
                           [&] { return Serve(argc, argv); });
}
