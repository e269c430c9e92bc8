/// Fails when steering a packet of a known flow allocates memory.

#include "LoneHost.h"

#include <cstdio>
#include <cstdlib>
#include <new>

namespace {

std::size_t gAllocations = 0;

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
  return made == 0 ? 0 : 1;
}
