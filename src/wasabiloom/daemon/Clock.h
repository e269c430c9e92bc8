/// The daemon's clocks.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>

namespace wasabiloom::daemon {

/// Monotonic time that goes on while the machine is suspended. Thread safe.
base::Instant
Now();

/// Number that rises with every start of a process on this machine and never
/// repeats: wall-clock milliseconds and random bits. Thread safe.
std::uint64_t
NewIncarnation();

} // namespace wasabiloom::daemon
