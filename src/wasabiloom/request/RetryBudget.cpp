#include "wasabiloom/request/RetryBudget.h"

#include <algorithm>

namespace wasabiloom::request {

void
RetryBudget::OnRequest()
{
  m_milliTokens =
    std::min(m_milliTokens + kMilliTokensPerRequest, kMaxMilliTokens);
}

bool
RetryBudget::TryTakeRetry()
{
  if (m_milliTokens < kRetryMilliTokens) {
    return false;
  }
  m_milliTokens -= kRetryMilliTokens;
  return true;
}

} // namespace wasabiloom::request
