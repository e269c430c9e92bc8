/// An entry host as the others of the fleet know it.
#pragma once

#include "wasabiloom/base/Endpoint.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace wasabiloom::fleet {

/// What is said of a member. A later value overrides an earlier one of the
/// same incarnation.
enum class MemberState : std::uint8_t
{
  Alive,
  /// Did not answer; it may still refute.
  Suspect,
  /// Has left, or did not refute in time.
  Gone,
};

/// Name of `aStanding` for logs. Thread safe.
std::string_view
ToString(MemberState aStanding);

/// A statement on one member; its address is its identity.
struct Member
{
  base::Ipv4Address m_address;
  std::string m_zone;
  /// Rises with each start of the process and each refutation.
  std::uint64_t m_incarnation = 0;
  MemberState m_state = MemberState::Alive;
  /// How much the host can pass on beside its work: Mbit/s of its link times
  /// its share of a core.
  std::uint32_t m_capacity = 1;

  friend auto operator<=>(const Member&, const Member&) = default;
};

/// Whether `aLeft` overrides `aRight`, a statement on the same member. Thread
/// safe.
bool
Overrides(const Member& aLeft, const Member& aRight);

} // namespace wasabiloom::fleet
