#include "wasabiloom/peer/HostView.h"

namespace wasabiloom::peer {

HostView::~HostView() = default;

bool
HostView::HasRecentDeparture(base::Instant aNow) const
{
  const base::Instant departure = LastDeparture();
  return departure != base::Instant{} && aNow - departure < kDepartureMemory;
}

} // namespace wasabiloom::peer
