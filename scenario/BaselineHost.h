/// Simpler ways to steer, to compare the product with.
#pragma once

#include "HostUnderTest.h"

#include "wasabiloom/steering/ShardState.h"

#include <array>
#include <map>

namespace wasabiloom::scenario {

/// Steers by TableOnly, FlowCache or TimedEpochs; connections only.
class BaselineHost final : public HostUnderTest
{
public:
  BaselineHost(Policy aPolicy,
               core::HostIdentity aIdentity,
               core::Effects& aEffects);

  core::PacketDecision OnPacket(std::span<const std::byte> aPacket,
                                base::Instant aNow) override;
  core::PacketDecision OnRelayedPacket(std::span<const std::byte> aPacket,
                                       base::HostId aFrom,
                                       base::Instant aNow) override;
  void OnPeer(const peer::Datagram& aDatagram, base::Instant aNow) override;
  void OnBundle(const std::string& aSigned, base::Instant aNow) override;
  void OnHostList(const core::HostList& aList, base::Instant aNow) override;
  void OnBackend(const request::Envelope& aEnvelope,
                 base::Instant aNow) override;
  void OnReport(const steering::ServiceId& /*aService*/,
                const health::TargetReport& /*aReport*/,
                base::Instant /*aNow*/) override
  {
  }
  void OnTick(base::Instant aNow) override;
  void BeginLeave(base::Instant aNow) override;
  bool IsDrained() const override { return true; }
  void FinishLeave(base::Instant aNow) override;
  bool IsReady() const override { return m_bundle.m_version > 0; }

private:
  struct Shard
  {
    Shard(const steering::ShardKey& aKey,
          steering::TargetDirectory& aDirectory);

    steering::ShardState m_state;
    /// Table that comes into force when the epoch switches.
    steering::ShardTable m_next;
  };

  struct Service
  {
    explicit Service(const bundle::Service& aService);

    steering::TargetDirectory m_directory;
    std::vector<std::unique_ptr<Shard>> m_shards;
  };

  void PlanEpoch(base::Instant aNow);
  void SwitchEpoch();
  void TellMovedFlows(Shard& aShard, base::Instant aNow);

  Policy m_policy;
  core::HostIdentity m_identity;
  core::Effects& m_effects;
  bundle::Bundle m_bundle;
  core::HostList m_list;
  std::map<packet::ServiceAddress, std::unique_ptr<Service>> m_services;
  base::Instant m_switchAt;
  bool m_switchDue = false;
};

} // namespace wasabiloom::scenario
