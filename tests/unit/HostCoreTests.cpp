#include "support/Problems.h"
#include "support/SampleBundle.h"
#include "support/Section.h"
#include "wasabiloom/bundle/SignedBundle.h"
#include "wasabiloom/core/HostCore.h"
#include "wasabiloom/packet/IpWriter.h"

namespace wasabiloom::tests {

using base::ResultCode;
using core::PacketAction;

namespace {

/// Keeps what a core sends and logs.
class RecordingEffects final : public core::Effects
{
public:
  void SendToBackend(const base::Endpoint&, const request::Envelope&) override
  {
  }
  void SendToCaller(const packet::FlowKey&, const request::Envelope&) override
  {
  }
  void LogRequestDecision(const request::RequestDecision&) override {}
  void SendPeer(const base::Endpoint& /*aTo*/,
                const peer::Datagram& aDatagram) override
  {
    m_sent.push_back(aDatagram);
  }
  void ProbeTarget(const steering::ServiceId&,
                   const steering::TargetId&,
                   const base::Endpoint&) override
  {
  }
  void LogFlow(const core::FlowDecision& aDecision) override
  {
    m_flows.push_back(aDecision);
  }
  void LogEvent(const core::HostEvent&) override {}

  std::vector<peer::Datagram> m_sent;
  std::vector<core::FlowDecision> m_flows;
};

/// A ready core without peers.
class CoreBench
{
public:
  CoreBench()
    : m_keys(bundle::NewKeyPair())
    , m_bundle(SampleBundle(5, { SampleService("desk", 4) }))
    , m_core({ "lone", "a", 1, { m_keys.m_public } }, m_effects)
  {
    EXPECT_EQ(Publish(m_bundle), ResultCode::Ok);
    m_core.OnHostList({ 1, {}, {} }, m_now);
    Pass(std::chrono::seconds(3));
    EXPECT_TRUE(m_core.IsReady());
  }

  std::string Sign(const bundle::Bundle& aBundle, const bundle::SecretKey& aKey)
  {
    return ValueOf(
      [&] { return bundle::SignBundle(BundleText(aBundle), aKey); });
  }

  ResultCode Publish(const bundle::Bundle& aBundle)
  {
    return Offer(Sign(aBundle, m_keys.m_secret));
  }

  ResultCode Offer(const std::string& aSigned)
  {
    return ProblemOf([&] { return m_core.OnBundle(aSigned, m_now); }).m_code;
  }

  void Pass(base::Duration aTime)
  {
    const base::Instant end = m_now + aTime;
    while (m_now < end) {
      m_now += core::kTickInterval;
      m_core.OnTick(m_now);
    }
  }

  core::PacketDecision Send(std::uint32_t aCaller, packet::TcpKind aKind)
  {
    const base::Endpoint caller{ { 0x0b000000 + aCaller }, 40000 };
    const auto service = m_bundle.m_services[0].m_address.m_endpoint;
    return m_core.OnPacket(packet::WriteTcp(caller, service, aKind, {}), m_now);
  }

  bundle::KeyPair m_keys;
  bundle::Bundle m_bundle;
  RecordingEffects m_effects;
  core::HostCore m_core;
  base::Instant m_now{ std::chrono::seconds(100) };
};

} // namespace

TEST(HostCore, ServesAloneAndLogsEachPlacementOnce)
{
  CoreBench bench;
  const auto opened = bench.Send(1, packet::TcpKind::Open);
  ASSERT_EQ(opened.m_action, PacketAction::Forward);
  EXPECT_EQ(bench.Send(1, packet::TcpKind::Data).m_to, opened.m_to);
  ASSERT_EQ(bench.m_effects.m_flows.size(), 1U);
  EXPECT_EQ(bench.m_effects.m_flows[0].m_service, "desk");
  EXPECT_TRUE(bench.m_effects.m_flows[0].m_opens);
}

TEST(HostCore, RefusesBadInputAndIsNotDisturbed)
{
  CoreBench bench;
  const auto before = bench.Send(1, packet::TcpKind::Open);

  Section("a packet to no service of the bundle", [&] {
    const base::Endpoint nowhere{ { 0x0a6400ff }, 443 };
    const auto packet =
      packet::WriteTcp({ { 1 }, 1 }, nowhere, packet::TcpKind::Open, {});
    const auto decision = bench.m_core.OnPacket(packet, bench.m_now);
    EXPECT_EQ(decision.m_action, PacketAction::Drop);
    EXPECT_EQ(decision.m_code, ResultCode::PacketForeignService);
  });
  Section("a truncated packet", [&] {
    const std::vector<std::byte> stump(7);
    EXPECT_EQ(bench.m_core.OnPacket(stump, bench.m_now).m_code,
              ResultCode::PacketTruncated);
  });
  Section("a bundle with another's signature", [&] {
    auto newer = bench.m_bundle;
    newer.m_version = 6;
    EXPECT_EQ(bench.Offer(bench.Sign(newer, bundle::NewKeyPair().m_secret)),
              ResultCode::BundleBadSignature);
  });
  Section("a bundle of the same or a lower version", [&] {
    for (const std::uint64_t version : { 5U, 4U }) {
      auto older = bench.m_bundle;
      older.m_version = version;
      EXPECT_EQ(bench.Publish(older), ResultCode::BundleVersionNotNewer);
    }
  });
  Section("a bundle over 1 MB, and one that is no bundle", [&] {
    EXPECT_EQ(bench.Offer(std::string(bundle::kMaxBundleBytes + 1, 'x')),
              ResultCode::BundleTooLarge);
    EXPECT_EQ(bench.Offer("garbage"), ResultCode::BundleMalformed);
  });
  Section("a message from a host outside the list", [&] {
    bench.m_core.OnPeer({ { 99 }, 1, peer::BundleRequest{} }, bench.m_now);
    const auto unknown = static_cast<std::size_t>(ResultCode::PeerUnknown);
    EXPECT_EQ(bench.m_core.GetCounters().m_refused.at(unknown), 1U);
  });
  Section("none of it moved a flow or the bundle in force", [&] {
    EXPECT_EQ(bench.Send(1, packet::TcpKind::Data).m_to, before.m_to);
    EXPECT_EQ(bench.m_core.Status().m_bundleVersion, 5U);
  });
}

TEST(HostCore, ClosesAZoneAtOnce)
{
  CoreBench bench;
  auto out = bench.m_bundle;
  out.m_version = 6;
  out.m_zones[0].m_state = bundle::ZoneState::Out;
  ASSERT_EQ(bench.Publish(out), ResultCode::Ok);
  const auto closed = out.m_services[0].m_targets[0].m_endpoint;
  Section("no packet reaches it, even before the table has changed", [&] {
    for (std::uint32_t caller = 0; caller < 500; ++caller) {
      EXPECT_NE(bench.Send(caller, packet::TcpKind::Data).m_to, closed);
    }
  });
  Section("and soon every flow finds another backend server", [&] {
    bench.Pass(std::chrono::seconds(1));
    for (std::uint32_t caller = 1000; caller < 1500; ++caller) {
      EXPECT_EQ(bench.Send(caller, packet::TcpKind::Open).m_action,
                PacketAction::Forward);
    }
  });
}

} // namespace wasabiloom::tests
