#include "wasabiloom/token/TokenEffects.h"

namespace wasabiloom::token {

TokenEffects::~TokenEffects() = default;

} // namespace wasabiloom::token
