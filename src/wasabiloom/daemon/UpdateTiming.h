/// Waits that follow from the bound within which news must be in force.
#pragma once

#include "wasabiloom/fleet/FactRelay.h"
#include "wasabiloom/registry/Reader.h"
#include "wasabiloom/settings/TokenHostSettings.h"

namespace wasabiloom::daemon {

/// How a host reads the registry. Thread safe.
registry::ReaderTiming
ReaderTimingOf(const settings::TokenHostSettings& aSettings);

/// When a host that hears nothing reads for itself. Thread safe.
fleet::RelayTiming
RelayTimingOf(const settings::TokenHostSettings& aSettings);

/// How much a host can pass on; see fleet::Member. Thread safe.
std::uint32_t
CapacityOf(const settings::TokenHostSettings& aSettings);

} // namespace wasabiloom::daemon
