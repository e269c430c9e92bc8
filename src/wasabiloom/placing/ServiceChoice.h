/// Chooses the service of a new flow by a route's weights.
#pragma once

#include "wasabiloom/registry/Facts.h"

#include <cstdint>
#include <string_view>

namespace wasabiloom::placing {

/// Service of `aRoute` that takes the flow with hash `aHash`, by weight; empty
/// when the route names none. Thread safe.
std::string_view
ChooseService(const registry::Route& aRoute, std::uint64_t aHash);

} // namespace wasabiloom::placing
