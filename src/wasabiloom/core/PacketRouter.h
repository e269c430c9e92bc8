/// The way of a packet through the core: parse, find the service, decide.
#pragma once

#include "wasabiloom/core/Counters.h"
#include "wasabiloom/core/Effects.h"
#include "wasabiloom/core/Inputs.h"
#include "wasabiloom/core/ServiceCatalog.h"
#include "wasabiloom/request/Handover.h"

#include <cstddef>
#include <span>
#include <string_view>

namespace wasabiloom::core {

/// Decides on packets with what the catalog and the membership know. One
/// thread at a time.
class PacketRouter
{
public:
  /// The references must outlive the router.
  PacketRouter(const ServiceCatalog& aCatalog,
               const peer::Membership& aMembership,
               Counters& aCounters,
               Effects& aEffects);

  /// Decides on one IPv4 packet. `aRelayedFrom` is zero when it came from the
  /// fabric. Allocates nothing for a flow the host knows.
  PacketDecision Route(std::span<const std::byte> aPacket,
                       base::HostId aRelayedFrom,
                       base::Instant aNow);

  /// Loads what Route will need into the processor's cache.
  void Prefetch(std::span<const std::byte> aPacket) const;

private:
  PacketDecision RouteConnection(ServiceRuntime& aService,
                                 const packet::PacketView& aView,
                                 base::HostId aRelayedFrom,
                                 base::Instant aNow);
  PacketDecision RouteRequest(ServiceRuntime& aService,
                              const packet::PacketView& aView,
                              base::HostId aRelayedFrom,
                              base::Instant aNow);
  /// What the fleet says of a request's home; the request's own part is left.
  request::RequestOwnership SituationOf(base::HostId aHome,
                                        base::HostId aPrevious,
                                        base::HostId aRelayedFrom) const;
  PacketDecision Refuse(base::ResultCode aCode);
  PacketDecision RelayTo(base::HostId aHost);
  void LogPlacement(const ServiceRuntime& aService,
                    const packet::PacketView& aView,
                    const steering::SteerResult& aResult,
                    std::string_view aTarget,
                    bool aRelayed);

  const ServiceCatalog& m_catalog;
  const peer::Membership& m_membership;
  Counters& m_counters;
  Effects& m_effects;
};

} // namespace wasabiloom::core
