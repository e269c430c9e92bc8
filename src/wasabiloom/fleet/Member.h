/// An entry host as the other hosts of the fleet know it.
#pragma once

#include "wasabiloom/base/Endpoint.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace wasabiloom::fleet {

/// State of a member. Of two statements with the same incarnation, the one with
/// the later value here overrides the other.
enum class MemberState : std::uint8_t
{
  Alive,
  /// The member did not answer probes; it may still refute.
  Suspect,
  /// The member has left, or did not refute in time.
  Gone,
};

/// Name of `aStanding` for logs. Thread safe.
std::string_view
ToString(MemberState aStanding);

/// A statement on one member, which is identified by its address.
struct Member
{
  base::Ipv4Address m_address;
  std::string m_zone;
  /// Increases with each start of the process and each refutation.
  std::uint64_t m_incarnation = 0;
  MemberState m_state = MemberState::Alive;
  /// How much the host can forward to others in addition to its own work:
  /// bandwidth of its link in Mbit/s times its share of a CPU core.
  std::uint32_t m_capacity = 1;

  friend auto operator<=>(const Member&, const Member&) = default;
};

/// Whether `aLeft` overrides `aRight`, a statement on the same member. Thread
/// safe.
bool
Overrides(const Member& aLeft, const Member& aRight);

} // namespace wasabiloom::fleet
