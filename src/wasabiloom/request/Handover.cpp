#include "wasabiloom/request/Handover.h"

namespace wasabiloom::request {

HomeAction
DecideHome(const HomeSituation& aSituation)
{
  if (aSituation.m_isKnown) {
    return HomeAction::Serve;
  }
  if (!aSituation.m_isHome) {
    const bool passesOn =
      !aSituation.m_isRelayed || aSituation.m_isLeaving || aSituation.m_wasHome;
    return passesOn ? HomeAction::RelayToHome : HomeAction::Serve;
  }
  const bool mustAsk = !aSituation.m_isRepeatable &&
                       aSituation.m_hasPredecessor &&
                       !aSituation.m_fromPredecessor;
  return mustAsk ? HomeAction::RelayToPredecessor : HomeAction::Serve;
}

} // namespace wasabiloom::request
