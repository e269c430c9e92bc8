/// Limits retries to a share of the requests, so that retries do not multiply
/// the load on backend servers that fail.
#pragma once

#include <cstdint>

namespace wasabiloom::request {

/// Token bucket: each first attempt adds tokens and each retry takes some. The
/// bucket starts full. Not thread safe: at most one thread at a time.
class RetryBudget
{
public:
  /// Counts a first attempt.
  void OnRequest();

  /// Takes the tokens of one retry; returns false if too few are left.
  bool TryTakeRetry();

private:
  std::uint64_t m_milliTokens = kMaxMilliTokens;

  /// In the long run at most one retry for each ten requests, with a burst of
  /// at most ten retries.
  static constexpr std::uint64_t kRetryMilliTokens = 1000;
  static constexpr std::uint64_t kMilliTokensPerRequest = 100;
  static constexpr std::uint64_t kMaxMilliTokens = 10'000;
};

} // namespace wasabiloom::request
