/// Stand-in for the callers of the users' platform and for its fabric: keeps
/// feeds open, sends requests on flows of their own, and hands each packet to
/// the next host of a list. Writes totals to a report file.

#include "Support.h"
#include "TokenPackets.h"

#include "platform/DatagramCodec.h"
#include "wasabiloom/daemon/SignalWatch.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QSocketNotifier>
#include <QTimer>

#include <map>
#include <sstream>

namespace {

namespace options = boost::program_options;

using namespace standins;
using wasabiloom::base::Endpoint;
using wasabiloom::base::ResultCode;
using wasabiloom::daemon::UdpSocket;

constexpr int kTickMs = 20;
constexpr int kRepeatMs = 200;
constexpr int kGiveUpMs = 5000;
constexpr int kFeedPauseMs = 200;
constexpr int kReportMs = 100;
constexpr std::uint16_t kFirstPort = 20'000;
constexpr std::uint16_t kPorts = 40'000;

struct Totals
{
  std::uint64_t m_opened = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_broken = 0;
  std::uint64_t m_wrong = 0;
};

/// One flow of a caller.
struct Flow
{
  bool m_isFeed = false;
  bool m_isOpen = false;
  bool m_waits = true;
  std::uint32_t m_token = 0;
  std::uint32_t m_sequence = 1;
  std::uint32_t m_acknowledged = 0;
  std::uint32_t m_copies = 0;
  qint64 m_sentAt = 0;
  qint64 m_askedAt = 0;
};

class TokenCaller
{
public:
  TokenCaller(const Options& aChosen)
    : m_local(aChosen.Address("listen"))
    , m_route(aChosen.Address("route"))
    , m_service(aChosen.Text("service"))
    , m_hostsFile(aChosen.Text("hosts"))
    , m_reportFile(aChosen.Text("report"))
    , m_requestGapMs(1000.0 / aChosen.Number("rate"))
    , m_socket(OpenUdp(m_local))
    , m_notifier(m_socket->Descriptor(), QSocketNotifier::Read)
  {
    m_clock.start();
    QObject::connect(&m_notifier, &QSocketNotifier::activated, [this] {
      for (const auto& datagram : m_socket->Receive()) {
        if (m_codec.Parse(datagram.m_bytes).m_code == ResultCode::Ok) {
          OnPacket(ReadPacket(datagram.m_bytes));
        }
      }
    });
    QObject::connect(&m_timer, &QTimer::timeout, [this] { OnTick(); });
    m_timer.start(kTickMs);
    m_feeds = static_cast<int>(aChosen.Number("feeds"));
  }

private:
  void OnTick()
  {
    const qint64 now = m_clock.elapsed();
    ReadHosts();
    while (m_openFeeds < m_feeds) {
      ++m_openFeeds;
      Open(true);
    }
    while (m_nextRequestMs <= static_cast<double>(now)) {
      m_nextRequestMs += m_requestGapMs;
      Open(false);
    }
    for (auto flow = m_flows.begin(); flow != m_flows.end();) {
      flow = Drive(flow, now);
    }
    if (now - m_reportedAt >= kReportMs) {
      m_reportedAt = now;
      Report();
    }
  }

  void ReadHosts()
  {
    std::istringstream words(ReadFileOrThrow(m_hostsFile));
    m_hosts.clear();
    std::string word;
    while (words >> word) {
      if (const auto host = wasabiloom::base::ParseEndpoint(word)) {
        m_hosts.push_back(*host);
      }
    }
  }

  void Open(bool aIsFeed)
  {
    m_port = static_cast<std::uint16_t>((m_port + 1) % kPorts);
    const auto port = static_cast<std::uint16_t>(kFirstPort + m_port);
    Flow& flow = m_flows[port];
    flow = Flow{};
    flow.m_isFeed = aIsFeed;
    flow.m_askedAt = m_clock.elapsed();
    Send(port, flow);
  }

  std::map<std::uint16_t, Flow>::iterator Drive(
    std::map<std::uint16_t, Flow>::iterator aFlow,
    qint64 aNow)
  {
    auto& [port, flow] = *aFlow;
    if (!flow.m_waits && aNow - flow.m_sentAt >= kFeedPauseMs) {
      flow.m_waits = true;
      flow.m_askedAt = aNow;
      Send(port, flow);
    } else if (flow.m_waits && aNow - flow.m_askedAt > kGiveUpMs) {
      m_totals.m_broken += flow.m_isOpen ? 1 : 0;
      m_totals.m_refused += flow.m_isOpen ? 0 : 1;
      return End(aFlow);
    } else if (flow.m_waits && aNow - flow.m_sentAt >= kRepeatMs) {
      ++flow.m_copies;
      Send(port, flow);
    }
    return std::next(aFlow);
  }

  std::map<std::uint16_t, Flow>::iterator End(
    std::map<std::uint16_t, Flow>::iterator aFlow)
  {
    m_openFeeds -= aFlow->second.m_isFeed ? 1 : 0;
    return m_flows.erase(aFlow);
  }

  void OnPacket(const TokenMessage& aPacket)
  {
    const auto found = m_flows.find(aPacket.m_to.m_port);
    if (found == m_flows.end()) {
      return;
    }
    Flow& flow = found->second;
    if ((aPacket.m_flags & kRst) != 0) {
      m_totals.m_broken += flow.m_isOpen ? 1 : 0;
      m_totals.m_refused += flow.m_isOpen ? 0 : 1;
      End(found);
      return;
    }
    if ((aPacket.m_flags & kSyn) != 0 && !flow.m_isOpen) {
      flow.m_isOpen = true;
      ++m_totals.m_opened;
      flow.m_token = aPacket.m_token;
      flow.m_acknowledged = aPacket.m_sequence + 1;
      Send(aPacket.m_to.m_port, flow);
    } else if (!aPacket.m_data.empty() && flow.m_waits) {
      OnAnswer(found, aPacket);
    }
  }

  void OnAnswer(std::map<std::uint16_t, Flow>::iterator aFlow,
                const TokenMessage& aPacket)
  {
    Flow& flow = aFlow->second;
    flow.m_token = aPacket.m_token;
    flow.m_acknowledged =
      aPacket.m_sequence + static_cast<std::uint32_t>(aPacket.m_data.size());
    ++m_totals.m_answered;
    const bool isRight = aPacket.m_data.starts_with(m_service + " ");
    m_totals.m_wrong += isRight ? 0 : 1;
    flow.m_waits = false;
    flow.m_sequence += static_cast<std::uint32_t>(kQuestion.size());
    if (!flow.m_isFeed) {
      Send(aFlow->first, flow, kFin | kAck);
      End(aFlow);
    }
  }

  void Send(std::uint16_t aPort, Flow& aFlow, std::uint8_t aFlags = kAck)
  {
    aFlow.m_sentAt = m_clock.elapsed();
    if (m_hosts.empty()) {
      return;
    }
    TokenMessage packet;
    packet.m_from = { m_local.m_address, aPort };
    packet.m_to = m_route;
    packet.m_token = aFlow.m_token;
    packet.m_sequence = aFlow.m_sequence;
    packet.m_acknowledged = aFlow.m_acknowledged;
    packet.m_flags = aFlags;
    if (!aFlow.m_isOpen) {
      packet.m_flags = kSyn;
      packet.m_acknowledged = aFlow.m_copies;
    } else if ((aFlags & kFin) == 0) {
      packet.m_data = kQuestion;
    }
    const auto bytes = WritePacket(packet);
    m_socket->Send(AsText(bytes), m_hosts[m_next++ % m_hosts.size()]);
  }

  void Report() const
  {
    std::ostringstream text;
    text << "opened=" << m_totals.m_opened
         << " answered=" << m_totals.m_answered
         << " refused=" << m_totals.m_refused << " broken=" << m_totals.m_broken
         << " wrong=" << m_totals.m_wrong << " feeds=" << m_openFeeds << "\n";
    WriteFileOrThrow(m_reportFile, text.str());
  }

  inline static const std::string kQuestion = "what is free?";

  Endpoint m_local;
  Endpoint m_route;
  std::string m_service;
  std::string m_hostsFile;
  std::string m_reportFile;
  double m_requestGapMs;
  double m_nextRequestMs = 0;
  int m_feeds = 0;
  int m_openFeeds = 0;
  std::uint16_t m_port = 0;
  std::size_t m_next = 0;
  qint64 m_reportedAt = 0;
  QElapsedTimer m_clock;
  wasabiloom::platform::DatagramCodec m_codec;
  std::unique_ptr<UdpSocket> m_socket;
  QSocketNotifier m_notifier;
  QTimer m_timer;
  std::vector<Endpoint> m_hosts;
  std::map<std::uint16_t, Flow> m_flows;
  Totals m_totals;
};

int
Run(int aCount, char** aWords)
{
  QCoreApplication application(aCount, aWords);
  options::options_description known("standin_token_caller: callers, fabric");
  known.add_options()("listen", options::value<std::string>()->required())(
    "route", options::value<std::string>()->required())(
    "service", options::value<std::string>()->required())(
    "hosts", options::value<std::string>()->required(), "file of endpoints")(
    "report", options::value<std::string>()->required())(
    "feeds", options::value<double>()->default_value(20))(
    "rate", options::value<double>()->default_value(50), "requests a second");
  const Options chosen(aCount, aWords, known);
  const wasabiloom::daemon::SignalWatch signalWatch(
    [] { QCoreApplication::quit(); });
  const TokenCaller caller(chosen);
  return QCoreApplication::exec();
}

} // namespace

int
main(int argc, char** argv)
{
  return RunMain("standin_token_caller", [&] { return Run(argc, argv); });
}
