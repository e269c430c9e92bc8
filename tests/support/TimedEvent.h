/// Event on the virtual time of a test.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>
#include <functional>
#include <tuple>

namespace wasabiloom::tests {

/// Runs at `m_at`; events at the same time run in ascending `m_order`.
struct TimedEvent
{
  base::Instant m_at;
  std::uint64_t m_order = 0;
  std::function<void()> m_run;

  bool operator>(const TimedEvent& aOther) const
  {
    return std::tie(m_at, m_order) > std::tie(aOther.m_at, aOther.m_order);
  }
};

} // namespace wasabiloom::tests
