/// Statements on members that are to ride on the next messages.
#pragma once

#include "wasabiloom/fleet/Member.h"

#include <vector>

namespace wasabiloom::fleet {

/// Statements that ride on one message.
constexpr std::size_t kUpdatesAMessage = 16;

/// What was told least often goes first; what was told often enough for the
/// size of the fleet is dropped. One thread at a time.
class UpdateQueue
{
public:
  /// Replaces what waits to be told of the same member. `aMembers` is the size
  /// of the fleet.
  void Add(const Member& aMember, std::size_t aMembers);

  /// The statements for one message.
  std::vector<Member> Take();

private:
  struct Pending
  {
    Member m_member;
    std::size_t m_left = 0;
  };

  std::vector<Pending> m_pending;
};

} // namespace wasabiloom::fleet
