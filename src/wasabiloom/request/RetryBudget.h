/// Limits retries to a share of the requests.
#pragma once

#include <cstdint>

namespace wasabiloom::request {

/// Token bucket that first attempts fill and retries drain. One thread at a
/// time.
class RetryBudget
{
public:
  /// Notes a first attempt.
  void OnRequest();

  /// Takes one retry if there is one.
  bool TryTakeRetry();

private:
  std::uint64_t m_milliTokens = kMaxMilliTokens;

  static constexpr std::uint64_t kRetryMilliTokens = 1000;
  static constexpr std::uint64_t kMilliTokensPerRequest = 100;
  static constexpr std::uint64_t kMaxMilliTokens = 10'000;
};

} // namespace wasabiloom::request
