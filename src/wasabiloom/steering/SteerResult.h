/// Input and outcome of one steering decision.
#pragma once

#include "wasabiloom/steering/Types.h"

#include <cstdint>
#include <string_view>

namespace wasabiloom::steering {

/// One packet as steering sees it.
struct PacketToSteer
{
  FlowId m_flow;
  /// Whether the packet opens a flow, or may do so.
  bool m_mayOpenFlow = false;
  /// Peer that relayed the packet; zero when it came from the fabric.
  base::HostId m_relayedFrom;
};

/// What to do with a packet.
enum class SteerAction : std::uint8_t
{
  Forward,
  Relay,
  Drop,
};

/// Why; the names appear in decision lines.
enum class SteerReason : std::uint8_t
{
  TableDefault,
  Pinned,
  WindowKnown,
  WindowOldDefault,
  WindowNewDefault,
  RelayToWindowOwner,
  RelayNotReady,
  RelayUnknownTarget,
  DropNotReady,
  DropNoTarget,
  DropTargetClosed,
};

/// Outcome of one decision.
struct SteerResult
{
  SteerAction m_action = SteerAction::Drop;
  SteerReason m_reason = SteerReason::DropNotReady;
  TargetIndex m_targetIndex = kNoTargetIndex;
  base::HostId m_relayTo;
  /// Whether this host saw the flow for the first time.
  bool m_isNew = false;

  friend auto operator<=>(const SteerResult&, const SteerResult&) = default;
};

/// Name of `aReason` for logs. Thread safe.
std::string_view
ToString(SteerReason aReason);

} // namespace wasabiloom::steering
