#include "wasabiloom/registry/Source.h"

namespace wasabiloom::registry {

Source::~Source() = default;

} // namespace wasabiloom::registry
