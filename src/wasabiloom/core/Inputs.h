/// What the driver tells the core, and how the core answers for a packet.
#pragma once

#include "wasabiloom/bundle/Keys.h"
#include "wasabiloom/peer/Membership.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabiloom::core {

/// Who this host is.
struct HostIdentity
{
  std::string m_name;
  std::string m_zone;
  /// Rises with every start of a process under this name.
  std::uint64_t m_incarnation = 0;
  std::vector<bundle::PublicKey> m_trustedKeys;

  friend auto operator<=>(const HostIdentity&, const HostIdentity&) = default;
};

/// One revision of the platform's host list.
struct HostList
{
  std::uint64_t m_revision = 0;
  std::vector<peer::PeerAddress> m_hosts;
  /// Names of backend servers about to leave.
  std::vector<std::string> m_leavingTargets;

  friend auto operator<=>(const HostList&, const HostList&) = default;
};

/// What the driver must do with a packet.
enum class PacketAction : std::uint8_t
{
  /// Send it unchanged to a backend server.
  Forward,
  /// Send it unchanged to a peer's relay endpoint.
  Relay,
  /// The core has dealt with it.
  Consumed,
  /// Forget it; the code says why.
  Drop,
};

/// The core's answer for one packet.
struct PacketDecision
{
  PacketAction m_action = PacketAction::Drop;
  base::Endpoint m_to;
  base::ResultCode m_code = base::ResultCode::Ok;

  friend auto operator<=>(const PacketDecision&,
                          const PacketDecision&) = default;
};

} // namespace wasabiloom::core
