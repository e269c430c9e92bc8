/// Limits how much is spent in the long run.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>

namespace wasabiloom::base {

/// Token bucket. What must be done at once is spent without asking and leaves
/// a debt; what may wait asks for the level first. One thread at a time.
class TokenBucket
{
public:
  /// Begins full, with `aBurst`.
  TokenBucket(std::int64_t aPerSecond, std::int64_t aBurst);

  /// Adds what has accrued until `aNow`.
  void Refill(Instant aNow);

  /// What is left; negative while in debt.
  std::int64_t Level() const { return m_level; }

  void Spend(std::int64_t aCount) { m_level -= aCount; }

private:
  std::int64_t m_perSecond;
  std::int64_t m_burst;
  std::int64_t m_level;
  Instant m_refilledAt;
};

} // namespace wasabiloom::base
