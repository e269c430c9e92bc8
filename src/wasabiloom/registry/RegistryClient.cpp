#include "wasabiloom/registry/RegistryClient.h"

namespace wasabiloom::registry {

namespace {

template<typename Answer>
void
Stamp(std::uint64_t aEpoch, Answer& aAnswer)
{
  aAnswer.m_revision.m_epoch = aEpoch;
  for (Fact& fact : aAnswer.m_facts) {
    fact.m_revision.m_epoch = aEpoch;
  }
}

} // namespace

void
SetEpoch(std::uint64_t aEpoch, Page& aPage)
{
  Stamp(aEpoch, aPage);
}

void
SetEpoch(std::uint64_t aEpoch, Changes& aChanges)
{
  Stamp(aEpoch, aChanges);
}

RegistryClient::~RegistryClient() = default;

} // namespace wasabiloom::registry
