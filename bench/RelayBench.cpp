#include "LoneHost.h"

#include "wasabiloom/daemon/PacketPath.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <random>

namespace wasabiloom::bench {

namespace {

using daemon::UdpSocket;

constexpr std::size_t kFlows = 500'000;
constexpr std::size_t kPacketsPerRound = 512;
constexpr int kRounds = 2000;
constexpr double kMinRatio = 0.8;
constexpr base::Ipv4Address kLoopback{ 0x7f000001 };
constexpr std::uint16_t kBarePort = 46180;
constexpr std::uint16_t kPathPort = 46181;
constexpr std::uint16_t kSinkPort = 46182;
constexpr std::uint16_t kSourcePort = 46183;

std::unique_ptr<UdpSocket>
Open(std::uint16_t aPort)
{
  using Socket = std::unique_ptr<UdpSocket>;
  return base::Handle(
    [&] {
      return UdpSocket::Bind({ kLoopback, aPort });
    },
    [](const base::Problem& aProblem) -> Socket {
      std::fprintf(stderr, "%s\n", Describe(aProblem).c_str());
      std::abort();
    });
}

/// Processor time of this thread, in nanoseconds.
double
ThreadTime()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kNanosecondsPerSecond = 1e9;
  return static_cast<double>(time.tv_sec) * kNanosecondsPerSecond +
         static_cast<double>(time.tv_nsec);
}

/// Receives a batch and sends it on, nothing else.
std::size_t
RelayBare(UdpSocket& aSocket, const base::Endpoint& aTo)
{
  const auto datagrams = aSocket.Receive();
  for (const daemon::Received& datagram : datagrams) {
    aSocket.Queue(datagram.m_bytes, aTo);
  }
  aSocket.Flush();
  return datagrams.size();
}

/// Sends a round of packets to `aTo`, then drains them with `aBatch`.
template<typename Batch>
double
TimeRound(UdpSocket& aSource,
          const std::vector<Packet>& aPackets,
          std::mt19937& aRandom,
          const base::Endpoint& aTo,
          const Batch& aBatch)
{
  std::uniform_int_distribution<std::size_t> pick(0, aPackets.size() - 1);
  for (std::size_t i = 0; i < kPacketsPerRound; ++i) {
    aSource.Queue(aPackets[pick(aRandom)], aTo);
  }
  aSource.Flush();
  const double start = ThreadTime();
  std::size_t done = 0;
  while (done < kPacketsPerRound) {
    const std::size_t count = aBatch();
    if (count == 0) {
      break;
    }
    done += count;
  }
  return (ThreadTime() - start) / static_cast<double>(done);
}

void
Drain(UdpSocket& aSocket)
{
  while (!aSocket.Receive().empty()) {
  }
}

double
Median(std::vector<double> aValues)
{
  std::ranges::sort(aValues);
  return aValues[aValues.size() / 2];
}

} // namespace

bool
RunRelayBench()
{
  const base::Endpoint sinkAddress{ kLoopback, kSinkPort };
  auto service = tests::SampleService("desk", 14);
  for (bundle::Target& target : service.m_targets) {
    const auto last = target.m_endpoint.m_address.m_bits & 0xff;
    target.m_endpoint = { { 0x7f010000 + last }, kSinkPort };
  }
  LoneHost host(service);
  const auto packets = MakePackets(service, kFlows);
  for (const Packet& packet : packets) {
    host.Core().OnPacket(packet, host.Now());
  }
  const auto bare = Open(kBarePort);
  const auto carried = Open(kPathPort);
  const auto source = Open(kSourcePort);
  std::vector<std::unique_ptr<UdpSocket>> sinks;
  sinks.push_back(Open(kSinkPort));
  for (const bundle::Target& target : service.m_targets) {
    sinks.push_back(base::Handle(
      [&] { return UdpSocket::Bind(target.m_endpoint); },
      [](const base::Problem&) { return std::unique_ptr<UdpSocket>(); }));
  }
  daemon::PacketPath path(
    *carried, host.Core(), [](base::ResultCode, const base::Endpoint&) {});
  std::mt19937 random(1);
  std::vector<double> bareTimes;
  std::vector<double> pathTimes;
  for (int round = 0; round < kRounds; ++round) {
    bareTimes.push_back(
      TimeRound(*source, packets, random, { kLoopback, kBarePort }, [&] {
        return RelayBare(*bare, sinkAddress);
      }));
    pathTimes.push_back(
      TimeRound(*source, packets, random, { kLoopback, kPathPort }, [&] {
        return path.CarryBatch(host.Now());
      }));
    for (const auto& sink : sinks) {
      Drain(*sink);
    }
  }
  const double bareTime = Median(bareTimes);
  const double pathTime = Median(pathTimes);
  Report("bare recvmmsg/sendmmsg relay", bareTime, "ns/packet", true);
  Report("daemon's packet path", pathTime, "ns/packet", true);
  const double ratio = bareTime / pathTime;
  return Report("packet path against bare relay, per core",
                ratio,
                "ratio",
                ratio >= kMinRatio);
}

} // namespace wasabiloom::bench
