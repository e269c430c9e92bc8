#include "wasabiloom/registry/KnownHistory.h"

#include <algorithm>

namespace wasabiloom::registry {

void
KnownHistory::Append(const RevisionRange& aRange)
{
  m_known.m_to = std::max(m_known.m_to, aRange.m_to);
}

void
KnownHistory::AddState(const RegistryRevision& aRevision)
{
  if (Includes(aRevision)) {
    return;
  }
  m_isEmpty = false;
  m_known = { aRevision, aRevision };
}

void
KnownHistory::Forget(const RegistryRevision& aRevision)
{
  m_known.m_from = std::max(m_known.m_from, aRevision);
}

} // namespace wasabiloom::registry
