#include "HostUnderTest.h"

#include "BaselineHost.h"

namespace wasabiloom::scenario {

HostUnderTest::~HostUnderTest() = default;

namespace {

/// The product's core.
class CoreHost final : public HostUnderTest
{
public:
  CoreHost(const core::HostIdentity& aIdentity, core::Effects& aEffects)
    : m_core(aIdentity, aEffects)
  {
  }

  core::PacketDecision OnPacket(std::span<const std::byte> aPacket,
                                base::Instant aNow) override
  {
    return m_core.OnPacket(aPacket, aNow);
  }
  core::PacketDecision OnRelayedPacket(std::span<const std::byte> aPacket,
                                       base::HostId aFrom,
                                       base::Instant aNow) override
  {
    return m_core.OnRelayedPacket(aPacket, aFrom, aNow);
  }
  void OnPeer(const peer::Datagram& aDatagram, base::Instant aNow) override
  {
    m_core.OnPeer(aDatagram, aNow);
  }
  void OnBundle(const std::string& aSigned, base::Instant aNow) override
  {
    base::Handle([&] { return m_core.OnBundle(aSigned, aNow); },
                 [](const base::Problem&) {});
  }
  void OnHostList(const core::HostList& aList, base::Instant aNow) override
  {
    m_core.OnHostList(aList, aNow);
  }
  void OnBackend(const request::Envelope& aEnvelope,
                 base::Instant aNow) override
  {
    m_core.OnBackend(aEnvelope, aNow);
  }
  void OnReport(const steering::ServiceId& aService,
                const health::TargetReport& aReport,
                base::Instant aNow) override
  {
    m_core.OnReport(aService, aReport, aNow);
  }
  void OnTick(base::Instant aNow) override { m_core.OnTick(aNow); }
  void BeginLeave(base::Instant aNow) override { m_core.BeginLeave(aNow); }
  bool IsDrained() const override { return m_core.IsDrained(); }
  void FinishLeave(base::Instant aNow) override { m_core.FinishLeave(aNow); }
  bool IsReady() const override { return m_core.IsReady(); }

private:
  core::HostCore m_core;
};

} // namespace

std::unique_ptr<HostUnderTest>
MakeHost(Policy aPolicy,
         const core::HostIdentity& aIdentity,
         core::Effects& aEffects)
{
  if (aPolicy == Policy::OwnedWindows) {
    return std::make_unique<CoreHost>(aIdentity, aEffects);
  }
  return std::make_unique<BaselineHost>(aPolicy, aIdentity, aEffects);
}

} // namespace wasabiloom::scenario
