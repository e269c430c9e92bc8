/// Statements on members that are to ride on the next messages.
#pragma once

#include "wasabiloom/fleet/Member.h"

#include <vector>

namespace wasabiloom::fleet {

/// Statements that ride on one message.
constexpr std::size_t kMaxUpdatesPerMessage = 16;

/// Times that a statement is to ride in a fleet of `aMembers`. Thread safe.
std::size_t
SendsOfChange(std::size_t aMembers);

/// That a member is there for the first time rides no more often: members also
/// tell each other all they know from time to time.
constexpr std::size_t kSendsOfArrival = 8;

/// What was told least often goes first; what was told often enough is
/// dropped. One thread at a time.
class UpdateQueue
{
public:
  /// Replaces what waits to be told of the same member; it is told `aRides`
  /// times.
  void Add(const Member& aMember, std::size_t aRides);

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
