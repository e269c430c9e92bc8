/// A share that changes in steps.
#pragma once

#include "wasabiloom/base/Time.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace wasabiloom::placing {

/// Interval between two steps of shares that follow the load of zones.
constexpr base::Duration kLoadStepInterval = std::chrono::milliseconds(200);

/// Age above which an estimate of a zone's load no longer counts. Shares that
/// rest on it then fall, and are 0 when the estimate is 2 s old.
constexpr base::Duration kMaxEstimateAge = std::chrono::milliseconds(1250);

/// Time from the placing or refusal of a flow until the requests that it adds
/// or takes away are fully in the load of the zones.
constexpr base::Duration kEffectDelay = std::chrono::milliseconds(600);

/// A value with its recent past. Not thread safe.
class SteppedValue
{
public:
  double Get() const { return m_value; }

  /// Replaces the value within the present step.
  void Set(double aValue) { m_value = aValue; }

  /// Ends a step.
  void EndStep()
  {
    ++m_steps;
    m_past.at(m_steps % kPastSteps) = m_value;
  }

  /// Returns by how much the value has changed so lately that estimates of the
  /// age `aAge` can't show it.
  double UnseenChange(base::Duration aAge) const
  {
    const auto steps =
      static_cast<std::size_t>((aAge + kEffectDelay) / kLoadStepInterval);
    const std::size_t back = std::min({ steps, m_steps, kPastSteps - 1 });
    return m_value - m_past.at((m_steps - back) % kPastSteps);
  }

private:
  /// More than kMaxEstimateAge and kEffectDelay take.
  static constexpr std::size_t kPastSteps = 16;

  double m_value = 0;
  std::array<double, kPastSteps> m_past{};
  std::size_t m_steps = 0;
};

} // namespace wasabiloom::placing
