#include "wasabiloom/request/Handover.h"

namespace wasabiloom::request {

RequestAction
DecideRequestAction(const RequestOwnership& aSituation)
{
  if (aSituation.m_hasRecord) {
    return RequestAction::Serve;
  }
  if (!aSituation.m_isOwner) {
    const bool passesOn = !aSituation.m_isRelayed || aSituation.m_isLeaving ||
                          aSituation.m_wasOwner;
    return passesOn ? RequestAction::RelayToOwner : RequestAction::Serve;
  }
  const bool mustAsk = !aSituation.m_isRepeatable &&
                       aSituation.m_hasPreviousOwner &&
                       !aSituation.m_isFromPreviousOwner;
  return mustAsk ? RequestAction::RelayToPreviousOwner : RequestAction::Serve;
}

} // namespace wasabiloom::request
