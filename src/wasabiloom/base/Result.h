/// Error transport between modules, on Boost.LEAF.
#pragma once

#include "wasabiloom/base/ResultCode.h"

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace wasabiloom::base {

/// What went wrong: a numbered code and a sentence for the operator.
struct Problem
{
  ResultCode m_code = ResultCode::Ok;
  std::string m_detail;

  friend bool operator==(const Problem&, const Problem&) = default;
};

/// Value of type `T`, or an error that carries a Problem.
template<typename T>
using Result = boost::leaf::result<T>;

/// Builds the error of a Result. Thread safe.
inline boost::leaf::error_id
Fail(ResultCode aCode, std::string aDetail)
{
  return boost::leaf::new_error(Problem{ aCode, std::move(aDetail) });
}

/// "code NUMBER NAME: detail" for a person to read. Thread safe.
std::string
Describe(const Problem& aProblem);

/// Runs `aBody`, which returns Result<T>; on error calls `aOnProblem`, whose
/// return value replaces the result. Thread safe.
template<typename Body, typename OnProblem>
auto
Handle(Body&& aBody, OnProblem&& aOnProblem)
{
  return boost::leaf::try_handle_all(
    std::forward<Body>(aBody),
    [&](const Problem& aProblem) { return aOnProblem(aProblem); },
    [&] {
      return aOnProblem(Problem{ ResultCode::Ok, "unspecified error" });
    });
}

} // namespace wasabiloom::base
