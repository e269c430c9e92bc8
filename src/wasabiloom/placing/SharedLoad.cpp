#include "wasabiloom/placing/SharedLoad.h"

namespace wasabiloom::placing {

SharedLoad::~SharedLoad() = default;

} // namespace wasabiloom::placing
