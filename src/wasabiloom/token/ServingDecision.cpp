#include "wasabiloom/token/ServingDecision.h"

namespace wasabiloom::token {

namespace {

bool
IsCutOff(const ServingEvidence& aEvidence, base::Instant aNow)
{
  const base::Instant silentSince = aNow - aEvidence.m_otherZonesSilentFor;
  return aEvidence.m_otherZonesSilentFor >= kMaxOtherZoneSilence &&
         aEvidence.m_registryCurrentAt < silentSince + kRegistryMargin;
}

} // namespace

bool
ServingDecision::Update(const ServingEvidence& aEvidence, base::Instant aNow)
{
  const bool serversRespond =
    m_canServe &&
    aNow - aEvidence.m_otherZoneRespondedAt < kMaxOtherZoneSilence;
  m_canServe =
    aEvidence.m_hasLocalServer || serversRespond || !IsCutOff(aEvidence, aNow);
  return m_canServe;
}

} // namespace wasabiloom::token
