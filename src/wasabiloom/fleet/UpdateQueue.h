/// Statements on members that wait to be piggybacked on the next messages.
#pragma once

#include "wasabiloom/fleet/Member.h"

#include <vector>

namespace wasabiloom::fleet {

/// Number of statements that one message carries at most.
constexpr std::size_t kMaxUpdatesPerMessage = 16;

/// Number of messages that carry a changed statement in a fleet of `aMembers`.
/// Thread safe.
std::size_t
SendsOfChange(std::size_t aMembers);

/// Number of messages that carry the first statement on a new member. It does
/// not grow with the fleet, as members also exchange all statements from time
/// to time.
constexpr std::size_t kSendsOfArrival = 8;

/// Statements with the most sends left are taken first; a statement is dropped
/// when it has none left. Not thread safe.
class UpdateQueue
{
public:
  /// Queues a statement to be sent `aRides` times. Replaces a queued statement
  /// on the same member.
  void Add(const Member& aMember, std::size_t aRides);

  /// Returns the statements for one message and counts them as sent.
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
