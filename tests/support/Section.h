/// Named parts of a test, nested from general to particular.
#pragma once

#include <gtest/gtest.h>

#include <string>

namespace wasabiloom::tests {

/// Runs `aBody`; a failure inside names `aTitle`.
template<typename Body>
void
Section(const std::string& aTitle, const Body& aBody)
{
  const testing::ScopedTrace trace("", 0, aTitle);
  aBody();
}

} // namespace wasabiloom::tests
