#include "wasabiloom/fleet/FactPool.h"

namespace wasabiloom::fleet {

FactPool::~FactPool() = default;

} // namespace wasabiloom::fleet
