#include "wasabiloom/peer/HostView.h"

namespace wasabiloom::peer {

HostView::~HostView() = default;

} // namespace wasabiloom::peer
