#include "wasabiloom/bundle/Bundle.h"

#include <algorithm>

namespace wasabiloom::bundle {

ZoneState
StateOfZone(const Bundle& aBundle, const std::string& aZone)
{
  const auto found = std::ranges::find(aBundle.m_zones, aZone, &Zone::m_name);
  return found == aBundle.m_zones.end() ? ZoneState::Out : found->m_state;
}

} // namespace wasabiloom::bundle
