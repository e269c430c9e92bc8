/// Stand-in for a backend server of the users' platform: takes datagrams that
/// name it, answers callers directly, refuses packets of flows it does not
/// hold. Answers each piece of data with its service and id.

#include "Support.h"
#include "TokenPackets.h"

#include "platform/DatagramCodec.h"
#include "wasabiloom/daemon/SignalWatch.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <boost/endian/conversion.hpp>

#include <map>

namespace {

namespace options = boost::program_options;

using namespace standins;
using wasabiloom::base::Endpoint;
using wasabiloom::base::Pack;
using wasabiloom::base::ResultCode;
using wasabiloom::daemon::UdpSocket;

constexpr std::size_t kNameBytes = 8;

class TokenServer
{
public:
  TokenServer(std::uint64_t aNumber,
              std::string aAnswer,
              std::uint16_t aReturnPort,
              const Endpoint& aLocal)
    : m_number(aNumber)
    , m_answer(std::move(aAnswer))
    , m_returnPort(aReturnPort)
    , m_socket(OpenUdp(aLocal))
    , m_notifier(m_socket->Descriptor(), QSocketNotifier::Read)
  {
    QObject::connect(&m_notifier, &QSocketNotifier::activated, [this] {
      for (const auto& datagram : m_socket->Receive()) {
        OnDatagram(datagram.m_bytes);
      }
    });
  }

private:
  void OnDatagram(std::span<const std::byte> aBytes)
  {
    if (aBytes.size() < kNameBytes) {
      return;
    }
    const auto named = boost::endian::load_big_u64(
      reinterpret_cast<const unsigned char*>(aBytes.data()));
    const auto bytes = aBytes.subspan(kNameBytes);
    const bool isOurs = named == 0 || named == m_number;
    if (isOurs && m_codec.Parse(bytes).m_code == ResultCode::Ok) {
      OnPacket(ReadPacket(bytes));
    }
  }

  void OnPacket(const TokenMessage& aPacket)
  {
    const std::uint64_t flow = Pack(aPacket.m_from);
    TokenMessage answer;
    answer.m_from = aPacket.m_to;
    answer.m_to = aPacket.m_from;
    answer.m_token = aPacket.m_token;
    answer.m_flags = kAck;
    answer.m_acknowledged =
      aPacket.m_sequence + static_cast<std::uint32_t>(aPacket.m_data.size());
    if ((aPacket.m_flags & kSyn) != 0) {
      m_flows.try_emplace(flow, 1000);
      answer.m_flags = kSyn | kAck;
    } else if (!m_flows.contains(flow)) {
      answer.m_flags = kRst;
      answer.m_sequence = aPacket.m_acknowledged;
      Send(answer);
      return;
    }
    answer.m_sequence = m_flows[flow];
    if (!aPacket.m_data.empty()) {
      answer.m_data = m_answer;
      m_flows[flow] += static_cast<std::uint32_t>(m_answer.size());
    }
    if ((aPacket.m_flags & (kFin | kRst)) != 0) {
      m_flows.erase(flow);
      answer.m_flags |= kFin;
    }
    Send(answer);
  }

  void Send(const TokenMessage& aMessage)
  {
    const auto bytes = WritePacket(aMessage);
    m_socket->Send(AsText(bytes), { aMessage.m_to.m_address, m_returnPort });
  }

  std::uint64_t m_number;
  std::string m_answer;
  std::uint16_t m_returnPort;
  wasabiloom::platform::DatagramCodec m_codec;
  std::unique_ptr<UdpSocket> m_socket;
  QSocketNotifier m_notifier;
  /// Next sequence number by flow.
  std::map<std::uint64_t, std::uint32_t> m_flows;
};

int
Serve(int aCount, char** aWords)
{
  QCoreApplication application(aCount, aWords);
  options::options_description known("standin_token_server: a backend server");
  known.add_options()("listen", options::value<std::string>()->required())(
    "id", options::value<std::string>()->required(), "hex digits after '-'")(
    "service", options::value<std::string>()->required())(
    "return-port", options::value<double>()->required());
  const Options chosen(aCount, aWords, known);
  const wasabiloom::daemon::SignalWatch signalWatch(
    [] { QCoreApplication::quit(); });
  const std::string id = chosen.Text("id");
  const TokenServer server(
    std::stoull(id.substr(id.find('-') + 1), nullptr, 16),
    chosen.Text("service") + " " + id,
    static_cast<std::uint16_t>(chosen.Number("return-port")),
    chosen.Address("listen"));
  return QCoreApplication::exec();
}

} // namespace

int
main(int argc, char** argv)
{
  return RunMain("standin_token_server", [&] { return Serve(argc, argv); });
}
