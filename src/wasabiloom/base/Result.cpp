#include "wasabiloom/base/Result.h"

namespace wasabiloom::base {

std::string
Describe(const Problem& aProblem)
{
  return "code " + std::to_string(static_cast<int>(aProblem.m_code)) + " " +
         std::string(ToString(aProblem.m_code)) + ": " + aProblem.m_detail;
}

} // namespace wasabiloom::base
