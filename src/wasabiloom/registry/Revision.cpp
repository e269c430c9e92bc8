#include "wasabiloom/registry/Revision.h"

#include <algorithm>

namespace wasabiloom::registry {

std::string
ToString(const RegistryRevision& aRevision)
{
  const std::string number = std::to_string(aRevision.m_number);
  return aRevision.m_epoch == 0
           ? number
           : std::to_string(aRevision.m_epoch) + ":" + number;
}

bool
EpochStart::Note(const RegistryRevision& aRevision, base::Instant aSince)
{
  if (aRevision.m_epoch < Epoch() || aRevision.m_epoch == 0) {
    return false;
  }
  const bool isLater = aRevision.m_epoch > Epoch();
  m_revision = isLater ? aRevision : std::min(m_revision, aRevision);
  m_since = isLater ? aSince : std::min(m_since, aSince);
  return isLater;
}

} // namespace wasabiloom::registry
