/// Input and result of one steering decision.
#pragma once

#include "wasabiloom/steering/Types.h"

#include <cstdint>
#include <string_view>

namespace wasabiloom::steering {

/// The properties of a packet that a steering decision depends on.
struct PacketToSteer
{
  FlowId m_flow;
  /// Whether the packet opens a flow or may open one.
  bool m_mayOpenFlow = false;
  /// Peer that relayed the packet; zero if it came from the fabric.
  base::HostId m_relayedFrom;
};

/// What the host does with a packet.
enum class SteerAction : std::uint8_t
{
  Forward,
  Relay,
  Drop,
};

/// Reason of a decision; its name (see ToString) appears in the log lines about
/// decisions.
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

/// Result of one steering decision.
struct SteerResult
{
  SteerAction m_action = SteerAction::Drop;
  SteerReason m_reason = SteerReason::DropNotReady;
  TargetIndex m_targetIndex = kNoTargetIndex;
  base::HostId m_relayTo;
  /// Whether the flow is new to this host.
  bool m_isNew = false;

  friend auto operator<=>(const SteerResult&, const SteerResult&) = default;
};

/// Returns the name of `aReason` for logs. Thread safe.
std::string_view
ToString(SteerReason aReason);

} // namespace wasabiloom::steering
