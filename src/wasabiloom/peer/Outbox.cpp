#include "wasabiloom/peer/Outbox.h"

namespace wasabiloom::peer {

Outbox::~Outbox() = default;

} // namespace wasabiloom::peer
