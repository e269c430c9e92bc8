/// What a scenario may do with an entry host, whatever steers inside it.
#pragma once

#include "wasabiloom/core/HostCore.h"

#include <memory>
#include <span>
#include <string>

namespace wasabiloom::scenario {

/// An entry host in a scenario. One thread at a time.
class HostUnderTest
{
public:
  virtual ~HostUnderTest();

  virtual core::PacketDecision OnPacket(std::span<const std::byte> aPacket,
                                        base::Instant aNow) = 0;
  virtual core::PacketDecision OnRelayedPacket(
    std::span<const std::byte> aPacket,
    base::HostId aFrom,
    base::Instant aNow) = 0;
  virtual void OnPeer(const peer::Datagram& aDatagram, base::Instant aNow) = 0;
  virtual void OnBundle(const std::string& aSigned, base::Instant aNow) = 0;
  virtual void OnHostList(const core::HostList& aList, base::Instant aNow) = 0;
  virtual void OnBackend(const request::Envelope& aEnvelope,
                         base::Instant aNow) = 0;
  virtual void OnReport(const steering::ServiceId& aService,
                        const health::TargetReport& aReport,
                        base::Instant aNow) = 0;
  virtual void OnTick(base::Instant aNow) = 0;
  virtual void BeginLeave(base::Instant aNow) = 0;
  virtual bool IsDrained() const = 0;
  virtual void FinishLeave(base::Instant aNow) = 0;
  virtual bool IsReady() const = 0;
};

/// Ways to steer that scenarios compare.
enum class Policy : std::uint8_t
{
  /// The product.
  OwnedWindows,
  /// S0: the table of the bundle in force, nothing remembered.
  TableOnly,
  /// S1: the table and each host's own flow cache.
  FlowCache,
  /// S3: epochs switched by time, moved flows told once.
  TimedEpochs,
};

/// Makes a host that steers by `aPolicy`. `aEffects` must outlive it.
std::unique_ptr<HostUnderTest>
MakeHost(Policy aPolicy,
         const core::HostIdentity& aIdentity,
         core::Effects& aEffects);

} // namespace wasabiloom::scenario
