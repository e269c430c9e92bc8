#include "wasabiloom/core/Effects.h"

namespace wasabiloom::core {

Effects::~Effects() = default;

} // namespace wasabiloom::core
