/// Stand-in for the network fabric: hands every datagram it receives to a
/// random live entry host of the host list file, and may drop, duplicate or
/// delay it.

#include "Support.h"

#include "wasabiloom/daemon/SignalWatch.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>

#include <iostream>
#include <random>
#include <stdexcept>
#include <vector>

namespace {

namespace options = boost::program_options;

using wasabiloom::base::Endpoint;
using wasabiloom::daemon::Received;
using wasabiloom::daemon::UdpSocket;

constexpr int kPollMs = 50;
constexpr int kMaxDelayMs = 20;

struct Chances
{
  double m_drop = 0;
  double m_duplicate = 0;
  double m_reorder = 0;
};

class Fabric
{
public:
  Fabric(UdpSocket& aSocket,
         const Chances& aChances,
         std::uint16_t aPort,
         std::uint64_t aSeed)
    : m_socket(aSocket)
    , m_chances(aChances)
    , m_port(aPort)
    , m_random(aSeed)
  {
  }

  void LoadHosts(const std::string& aPath)
  {
    std::vector<Endpoint> hosts;
    const std::string text = standins::ReadFileOrThrow(aPath);
    for (const standins::HostLine& line : standins::ParseHostLines(text)) {
      const auto address = wasabiloom::base::ParseIpv4(line.m_address);
      if (!line.m_isBackend && !line.m_leaving && address) {
        hosts.push_back({ *address, m_port });
      }
    }
    m_hosts = hosts;
  }

  void OnReadable()
  {
    for (const Received& datagram : m_socket.Receive()) {
      Spray(datagram);
    }
    m_socket.Flush();
  }

  std::uint64_t Carried() const { return m_carried; }

private:
  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random) <
           aProbability;
  }

  const Endpoint& RandomHost()
  {
    std::uniform_int_distribution<std::size_t> pick(0, m_hosts.size() - 1);
    return m_hosts[pick(m_random)];
  }

  void Spray(const Received& aDatagram)
  {
    ++m_carried;
    if (m_hosts.empty() || Chance(m_chances.m_drop)) {
      return;
    }
    const int copies = Chance(m_chances.m_duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (Chance(m_chances.m_reorder)) {
        SendLate(aDatagram);
      } else {
        m_socket.Queue(aDatagram.m_bytes, RandomHost());
      }
    }
  }

  void SendLate(const Received& aDatagram)
  {
    std::uniform_int_distribution<int> delay(1, kMaxDelayMs);
    const std::string bytes(standins::AsText(aDatagram.m_bytes));
    QTimer::singleShot(delay(m_random),
                       [this, bytes] { m_socket.Send(bytes, RandomHost()); });
  }

  UdpSocket& m_socket;
  Chances m_chances;
  std::uint16_t m_port;
  std::mt19937_64 m_random;
  std::vector<Endpoint> m_hosts;
  std::uint64_t m_carried = 0;
};

int
Serve(int aCount, char** aWords)
{
  const QCoreApplication application(aCount, aWords);
  options::options_description known("standin_fabric");
  known.add_options()(
    "listen", options::value<std::string>()->required(), "A.B.C.D:PORT")(
    "host-list", options::value<std::string>()->required(), "host list file")(
    "host-port", options::value<double>()->default_value(6080), "hosts' port")(
    "drop", options::value<double>()->default_value(0), "probability")(
    "duplicate", options::value<double>()->default_value(0), "probability")(
    "reorder", options::value<double>()->default_value(0), "probability")(
    "seed", options::value<double>()->default_value(1), "random seed");
  const standins::Options chosen(aCount, aWords, known);
  const wasabiloom::daemon::SignalWatch signals(
    [&] { QCoreApplication::quit(); });
  const auto socket = standins::OpenUdp(chosen.Address("listen"));
  Fabric fabric(*socket,
                { chosen.Number("drop"),
                  chosen.Number("duplicate"),
                  chosen.Number("reorder") },
                static_cast<std::uint16_t>(chosen.Number("host-port")),
                static_cast<std::uint64_t>(chosen.Number("seed")));
  const std::string path = chosen.Text("host-list");
  fabric.LoadHosts(path);
  const QSocketNotifier notifier(socket->Descriptor(), QSocketNotifier::Read);
  QObject::connect(
    &notifier, &QSocketNotifier::activated, [&] { fabric.OnReadable(); });
  QTimer poll;
  QObject::connect(&poll, &QTimer::timeout, [&] { fabric.LoadHosts(path); });
  poll.start(kPollMs);
  QCoreApplication::exec();
  std::cout << "fabric packets=" << fabric.Carried() << "\n";
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  return standins::RunMain("standin_fabric", [&] { return Serve(argc, argv); });
}
