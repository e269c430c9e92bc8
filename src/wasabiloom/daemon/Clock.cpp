#include "wasabiloom/daemon/Clock.h"

#include <ctime>
#include <random>

namespace wasabiloom::daemon {

namespace {

constexpr int kRandomBits = 20;

} // namespace

base::Instant
Now()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return base::Instant(std::chrono::seconds(time.tv_sec) +
                       std::chrono::nanoseconds(time.tv_nsec));
}

std::uint64_t
NewIncarnation()
{
  const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  std::random_device random;
  const std::uint64_t low = random() & ((1U << kRandomBits) - 1);
  return (static_cast<std::uint64_t>(wall.count()) << kRandomBits) | low;
}

} // namespace wasabiloom::daemon
