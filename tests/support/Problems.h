/// Access to the errors of Results in tests.
#pragma once

#include "wasabiloom/base/Result.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

/// The error of what `aBody` returns; a Problem with Ok when it succeeds.
template<typename Body>
base::Problem
ProblemOf(const Body& aBody)
{
  return base::Handle(
    [&]() -> base::Result<base::Problem> {
      BOOST_LEAF_CHECK(aBody());
      return base::Problem{};
    },
    [](const base::Problem& aProblem) { return aProblem; });
}

/// The value of what `aBody` returns; fails the test on an error.
template<typename Body>
auto
ValueOf(const Body& aBody)
{
  using Value = std::decay_t<decltype(aBody().value())>;
  return base::Handle(aBody, [](const base::Problem& aProblem) {
    ADD_FAILURE() << Describe(aProblem);
    return Value();
  });
}

} // namespace wasabiloom::tests
