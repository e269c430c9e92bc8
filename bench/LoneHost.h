/// A ready core without peers, for benchmarks.
#pragma once

#include "support/SampleBundle.h"
#include "wasabiloom/core/HostCore.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace wasabiloom::bench {

/// One IPv4 packet.
using Packet = std::vector<std::byte>;

/// Effects that go nowhere.
class NoEffects final : public core::Effects
{
public:
  void SendToBackend(const base::Endpoint&, const request::Envelope&) override
  {
  }
  void SendToCaller(const packet::FlowKey&, const request::Envelope&) override
  {
  }
  void LogRequestDecision(const request::RequestDecision&) override {}
  void SendPeer(const base::Endpoint&, const peer::Datagram&) override {}
  void ProbeTarget(const steering::ServiceId&,
                   const steering::TargetId&,
                   const base::Endpoint&) override
  {
  }
  void LogFlow(const core::FlowDecision&) override {}
  void LogEvent(const core::HostEvent&) override {}
};

/// A host that serves `aService` all by itself.
class LoneHost
{
public:
  explicit LoneHost(const bundle::Service& aService);

  core::HostCore& Core() { return *m_core; }
  base::Instant Now() const { return m_now; }

private:
  NoEffects m_effects;
  std::unique_ptr<core::HostCore> m_core;
  base::Instant m_now;
};

/// Data packets of `aCount` different flows to `aService`.
std::vector<Packet>
MakePackets(const bundle::Service& aService, std::size_t aCount);

/// Reports one measure against its bound; false when the bound is broken.
bool
Report(const char* aName, double aValue, const char* aUnit, bool aWithinBound);

/// Runs the relay benchmark; false when a bound is broken.
bool
RunRelayBench();

/// Runs the benchmark of listings and choices; false when a bound is broken.
bool
RunFactsBench();

/// Runs the decision benchmark; false when a bound is broken.
bool
RunDecisionBench();

} // namespace wasabiloom::bench
