/// Virtual time.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace wasabiloom::scenario {

/// When the virtual clock starts.
constexpr base::Instant kClockStart{ std::chrono::hours(1) };

/// Time given to the hosts to find each other before the scenario begins.
constexpr base::Duration kWarmUp = std::chrono::seconds(5);

/// Time zero of a scenario.
constexpr base::Instant kScenarioStart = kClockStart + kWarmUp;

/// Runs actions in the order of their time; equal times in the order in which
/// they were added. One thread at a time.
class EventQueue
{
public:
  using Action = std::function<void()>;

  base::Instant Now() const { return m_now; }

  /// Runs `aAction` after `aDelay`, which may be zero.
  void After(base::Duration aDelay, Action aAction)
  {
    m_events.push({ m_now + aDelay, ++m_added, std::move(aAction) });
  }

  /// Runs every action due until `aEnd`.
  void RunUntil(base::Instant aEnd)
  {
    while (!m_events.empty() && m_events.top().m_at <= aEnd) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_action();
    }
    m_now = aEnd;
  }

private:
  struct Event
  {
    base::Instant m_at;
    std::uint64_t m_order = 0;
    Action m_action;

    bool operator<(const Event& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_order > aOther.m_order;
    }
  };

  base::Instant m_now = kClockStart;
  std::uint64_t m_added = 0;
  std::priority_queue<Event> m_events;
};

} // namespace wasabiloom::scenario
