/// Fails when steering a packet of a known flow, or the choice of a backend
/// server, allocates memory.

#include "LoneHost.h"
#include "support/Registry.h"
#include "wasabiloom/base/Hash.h"
#include "wasabiloom/placing/LoadTable.h"
#include "wasabiloom/token/ServerSelector.h"

#include <cstdio>
#include <cstdlib>
#include <new>

namespace {

std::size_t gAllocations = 0;

/// Allocations while a server is chosen 10,000 times among 11,000.
std::size_t
CountForChoices(const wasabiloom::token::LoadFeatures& aFeatures)
{
  using namespace wasabiloom;
  constexpr std::size_t kServers = 11'000;
  constexpr std::uint64_t kChoices = 10'000;
  registry::RegistryCache beliefs;
  for (std::size_t i = 0; i < kServers; ++i) {
    auto server = tests::MakeServer("i-1");
    server.m_id = "i-" + std::to_string(i);
    server.m_zone = "zone-" + std::to_string(i % 14);
    beliefs.Apply(tests::ServerFact(server, i + 1), tests::At(0));
  }
  token::FlowTracker flows;
  const placing::LoadTable noReports;
  token::ServerSelector watch("zone-0", beliefs, flows, noReports, aFeatures);
  watch.ChooseServer("desk", 0, 1, tests::At(1));
  const std::size_t before = gAllocations;
  for (std::uint64_t flow = 0; flow < kChoices; ++flow) {
    watch.ChooseServer("desk", 0, base::Mix(flow), tests::At(1));
  }
  return gAllocations - before;
}

} // namespace

void*
operator new(std::size_t aSize)
{
  ++gAllocations;
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  std::free(aMemory);
}

int
main()
{
  constexpr std::size_t kFlows = 10'000;
  const auto service = wasabiloom::tests::SampleService("desk", 14);
  wasabiloom::bench::LoneHost host(service);
  const auto packets = wasabiloom::bench::MakePackets(service, kFlows);
  for (const auto& packet : packets) {
    host.Core().OnPacket(packet, host.Now());
  }
  const std::size_t before = gAllocations;
  for (const auto& packet : packets) {
    host.Core().OnPacket(packet, host.Now());
  }
  const std::size_t made = gAllocations - before;
  std::printf(
    "allocations for %zu packets of known flows: %zu\n", packets.size(), made);
  const std::size_t chosen =
    CountForChoices({}) + CountForChoices({ true, true, true });
  std::printf("allocations for 20,000 choices among 11,000 servers: %zu\n",
              chosen);
  return made == 0 && chosen == 0 ? 0 : 1;
}
