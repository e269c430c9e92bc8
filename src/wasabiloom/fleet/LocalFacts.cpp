#include "wasabiloom/fleet/LocalFacts.h"

namespace wasabiloom::fleet {

LocalFacts::~LocalFacts() = default;

} // namespace wasabiloom::fleet
