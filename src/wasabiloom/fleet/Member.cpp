#include "wasabiloom/fleet/Member.h"

#include <tuple>

namespace wasabiloom::fleet {

std::string_view
ToString(MemberState aStanding)
{
  switch (aStanding) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Gone:
      return "gone";
  }
  return "unlisted";
}

bool
Overrides(const Member& aLeft, const Member& aRight)
{
  return std::tie(aLeft.m_incarnation, aLeft.m_state) >
         std::tie(aRight.m_incarnation, aRight.m_state);
}

} // namespace wasabiloom::fleet
