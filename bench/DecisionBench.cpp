#include "LoneHost.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <random>

namespace wasabiloom::bench {

namespace {

constexpr std::size_t kFlows = 500'000;
constexpr int kRounds = 5;
constexpr double kMaxNanoseconds = 150;
constexpr double kMaxBytesPerFlow = 32;
constexpr std::size_t kBatch = 64;

using Clock = std::chrono::steady_clock;

double
NanosecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::nano>(Clock::now() - aStart)
    .count();
}

/// Packets in an order that defeats the processor's caches, laid out as a
/// receive buffer would be: each batch is contiguous and recent.
std::vector<std::size_t>
ShuffledOrder()
{
  std::vector<std::size_t> order(kFlows);
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::shuffle(order.begin(), order.end(), std::mt19937(1));
  return order;
}

} // namespace

bool
RunDecisionBench()
{
  const auto service = tests::SampleService("desk", 14);
  LoneHost host(service);
  const auto packets = MakePackets(service, kFlows);
  for (const Packet& packet : packets) {
    host.Core().OnPacket(packet, host.Now());
  }
  const auto order = ShuffledOrder();
  double best = 1e9;
  for (int round = 0; round < kRounds; ++round) {
    double total = 0;
    std::vector<Packet> batch(kBatch);
    for (std::size_t i = 0; i + kBatch <= kFlows; i += kBatch) {
      for (std::size_t j = 0; j < kBatch; ++j) {
        batch[j] = packets[order[i + j]];
      }
      const auto start = Clock::now();
      for (const Packet& packet : batch) {
        host.Core().Prefetch(packet);
      }
      for (const Packet& packet : batch) {
        host.Core().OnPacket(packet, host.Now());
      }
      total += NanosecondsSince(start);
    }
    best = std::min(best, total / static_cast<double>(kFlows));
  }
  const double bytes =
    static_cast<double>(host.Core().FlowMemoryBytes()) / kFlows;
  const bool fast = Report("steering decision, 500,000 open flows",
                           best,
                           "ns/packet",
                           best <= kMaxNanoseconds);
  const bool small =
    Report("flow state", bytes, "B/flow", bytes <= kMaxBytesPerFlow);
  return fast && small;
}

} // namespace wasabiloom::bench
