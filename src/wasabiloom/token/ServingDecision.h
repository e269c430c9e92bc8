/// Decides whether a host can serve new flows, so that the network fabric
/// should send callers to it.
#pragma once

#include "wasabiloom/base/Time.h"

namespace wasabiloom::token {

/// Time without any sign of another zone after which it counts as unreachable.
constexpr base::Duration kMaxOtherZoneSilence = std::chrono::milliseconds(500);

/// Time after the last sign of another zone within which the registry may still
/// have answered before both became unreachable together.
constexpr base::Duration kRegistryMargin = std::chrono::milliseconds(300);

/// What a host observes of the servers that it could select.
struct ServingEvidence
{
  /// Whether the host's own zone has a warm server that can accept new flows
  /// and is not suspect.
  bool m_hasLocalServer = true;
  /// Time for which no host of another zone has answered a probe.
  base::Duration m_otherZonesSilentFor{ 0 };
  /// When a caller last received new data from a server of another zone.
  base::Instant m_otherZoneRespondedAt;
  /// When the registry state of the host was last current. The registry is
  /// outside the zone.
  base::Instant m_registryCurrentAt;

  friend auto operator<=>(const ServingEvidence&,
                          const ServingEvidence&) = default;
};

/// A host cannot serve new flows if its own zone has no usable server and it is
/// cut off from all other zones. Then hosts of other zones serve its callers
/// better. A zone with a usable server always serves, so zones that cannot
/// reach each other do not all give up. A host that the registry answers is not
/// cut off: the hosts of other zones have failed and could serve nobody.
///
/// Responses of servers keep a host serving, but do not make it serve again:
/// while the fabric moves callers, another host may have forwarded the packet
/// that a server answers. Not thread safe.
class ServingDecision
{
public:
  /// Decides anew by what the host observes at `aNow`; returns CanServe().
  bool Update(const ServingEvidence& aEvidence, base::Instant aNow);

  bool CanServe() const { return m_canServe; }

private:
  bool m_canServe = true;
};

} // namespace wasabiloom::token
