#include "wasabiloom/fleet/Member.h"

#include <tuple>

namespace wasabiloom::fleet {

std::string_view
ToString(Standing aStanding)
{
  switch (aStanding) {
    case Standing::Alive:
      return "alive";
    case Standing::Suspect:
      return "suspect";
    case Standing::Gone:
      return "gone";
  }
  return "unlisted";
}

bool
Overrides(const Member& aLeft, const Member& aRight)
{
  return std::tie(aLeft.m_incarnation, aLeft.m_standing) >
         std::tie(aRight.m_incarnation, aRight.m_standing);
}

} // namespace wasabiloom::fleet
