#include "wasabiloom/fleet/LocalLoad.h"

namespace wasabiloom::fleet {

LocalLoad::~LocalLoad() = default;

} // namespace wasabiloom::fleet
