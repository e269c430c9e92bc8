/// Tells two bundles apart in words.
#pragma once

#include "wasabiloom/bundle/Bundle.h"

#include <string>
#include <vector>

namespace wasabiloom::cli {

/// One line for each zone, service and backend server that is added (+),
/// removed (-) or changed (~). Thread safe.
std::vector<std::string>
Differences(const bundle::Bundle& aBefore, const bundle::Bundle& aAfter);

} // namespace wasabiloom::cli
