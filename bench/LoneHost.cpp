#include "LoneHost.h"

#include "wasabiloom/bundle/SignedBundle.h"
#include "wasabiloom/packet/IpWriter.h"

#include <cstdio>
#include <cstdlib>

namespace wasabiloom::bench {

namespace {

constexpr std::uint32_t kCallerNet = 0x0b000000;
constexpr std::uint16_t kCallerPort = 40000;
constexpr std::size_t kPayloadBytes = 64;

[[noreturn]] void
Give(const base::Problem& aProblem)
{
  std::fprintf(stderr, "%s\n", Describe(aProblem).c_str());
  std::abort();
}

} // namespace

LoneHost::LoneHost(const bundle::Service& aService)
  : m_now(std::chrono::seconds(1000))
{
  const auto keys = bundle::NewKeyPair();
  m_core = std::make_unique<core::HostCore>(
    core::HostIdentity{ "lone", "a", 1, { keys.m_public } }, m_effects);
  base::Handle(
    [&]() -> base::Result<void> {
      const auto text = tests::BundleText(tests::SampleBundle(1, { aService }));
      BOOST_LEAF_AUTO(signedBundle, bundle::SignBundle(text, keys.m_secret));
      return m_core->OnBundle(signedBundle, m_now);
    },
    [](const base::Problem& aProblem) { Give(aProblem); });
  m_core->OnHostList({ 1, {}, {} }, m_now);
  while (!m_core->IsReady()) {
    m_now += core::kTickInterval;
    m_core->OnTick(m_now);
  }
}

std::vector<Packet>
MakePackets(const bundle::Service& aService, std::size_t aCount)
{
  const std::vector<std::byte> payload(kPayloadBytes);
  std::vector<Packet> packets;
  packets.reserve(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    const base::Endpoint caller{ { kCallerNet + static_cast<std::uint32_t>(i) },
                                 kCallerPort };
    packets.push_back(packet::WriteTcp(
      caller, aService.m_address.m_endpoint, packet::TcpKind::Data, payload));
  }
  return packets;
}

bool
Report(const char* aName, double aValue, const char* aUnit, bool aWithinBound)
{
  std::printf("%-52s %10.3f %-10s %s\n",
              aName,
              aValue,
              aUnit,
              aWithinBound ? "ok" : "OVER BOUND");
  return aWithinBound;
}

} // namespace wasabiloom::bench
