/// Time as the core sees it: a monotonic instant handed in by its driver.
#pragma once

#include <chrono>
#include <cstdint>

namespace wasabiloom::base {

/// Tag of the driver's monotonic clock; has no now(), by intent.
struct MonotonicClock
{
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// Span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Point on the driver's monotonic clock.
using Instant = MonotonicClock::time_point;

/// Whole milliseconds of `aSpan`. Thread safe.
inline std::int64_t
Milliseconds(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

} // namespace wasabiloom::base
