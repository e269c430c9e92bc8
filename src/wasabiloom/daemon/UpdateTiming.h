/// Delays derived from the time within which a change must be in force.
#pragma once

#include "wasabiloom/fleet/FactRelay.h"
#include "wasabiloom/registry/Reader.h"
#include "wasabiloom/settings/TokenHostSettings.h"

namespace wasabiloom::daemon {

/// Returns the timing of registry calls. Thread safe.
registry::ReaderTiming
ReaderTimingOf(const settings::TokenHostSettings& aSettings);

/// Returns when a host that receives no updates calls the registry itself.
/// Thread safe.
fleet::RelayTiming
RelayTimingOf(const settings::TokenHostSettings& aSettings);

/// Returns the capacity of a host; see fleet::Member. Thread safe.
std::uint32_t
CapacityOf(const settings::TokenHostSettings& aSettings);

} // namespace wasabiloom::daemon
