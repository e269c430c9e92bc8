#include "Measures.h"

#include <algorithm>
#include <cstdio>

namespace wasabiloom::scenario {

namespace {

constexpr std::size_t kKeptViolations = 20;

} // namespace

void
Measures::Raise(const std::string& aName, double aValue)
{
  double& value = m_values[aName];
  value = std::max(value, aValue);
}

double
Measures::Value(const std::string& aName) const
{
  const auto found = m_values.find(aName);
  return found == m_values.end() ? 0 : found->second;
}

void
Measures::Violate(const Violation& aViolation)
{
  Count("violations");
  Count("violations_" + aViolation.m_promise);
  if (m_violations.size() < kKeptViolations) {
    m_violations.push_back(aViolation);
  }
}

std::string
Measures::Text() const
{
  std::string text;
  for (const auto& [name, value] : m_values) {
    char line[128];
    std::snprintf(line, sizeof(line), "%s=%.6g\n", name.c_str(), value);
    text += line;
  }
  return text;
}

} // namespace wasabiloom::scenario
