/// What a run counts, and which promises it saw broken.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wasabiloom::scenario {

/// A promise that did not hold.
struct Violation
{
  std::string m_promise;
  std::string m_detail;
  base::Instant m_at;
  /// Index of the flow concerned; negative when none is.
  std::int64_t m_flow = -1;
};

/// Counters and violations of one run. One thread at a time.
class Measures
{
public:
  /// Adds to the named counter.
  void Count(const std::string& aName, double aAmount = 1)
  {
    m_values[aName] += aAmount;
  }

  /// Sets the named measure.
  void Set(const std::string& aName, double aValue)
  {
    m_values[aName] = aValue;
  }

  /// Keeps the larger of the named measure and `aValue`.
  void Raise(const std::string& aName, double aValue);

  /// Value of a measure; 0 when nothing was counted.
  double Value(const std::string& aName) const;

  /// Notes a broken promise; counts all, keeps the first few.
  void Violate(const Violation& aViolation);

  const std::vector<Violation>& Violations() const { return m_violations; }

  /// All measures, one `name=value` a line in the order of names.
  std::string Text() const;

private:
  std::map<std::string, double> m_values;
  std::vector<Violation> m_violations;
};

} // namespace wasabiloom::scenario
