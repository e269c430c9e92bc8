/// The daemon's clocks.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>

namespace wasabiloom::daemon {

/// Monotonic time, including time for which the machine is suspended. Thread
/// safe.
base::Instant
Now();

/// Returns a unique number that increases with every start of a process on this
/// machine. It is made of wall-clock milliseconds and random bits. Thread safe.
std::uint64_t
NewIncarnation();

} // namespace wasabiloom::daemon
