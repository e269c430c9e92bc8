/// Selects the service of a new flow by the weights of its route.
#pragma once

#include "wasabiloom/registry/Facts.h"

#include <cstdint>
#include <string_view>

namespace wasabiloom::placing {

/// Returns the service of `aRoute` for the flow with hash `aHash`, chosen in
/// proportion to the weights; empty if the route has no service with a positive
/// weight. Thread safe.
std::string_view
ChooseService(const registry::Route& aRoute, std::uint64_t aHash);

} // namespace wasabiloom::placing
