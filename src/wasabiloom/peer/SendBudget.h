/// Limits the control bytes that a host sends of its own accord.
#pragma once

#include "wasabiloom/base/TokenBucket.h"

#include <cstddef>
#include <cstdint>

namespace wasabiloom::peer {

/// Token bucket over bytes. What must be sent at once is spent without asking
/// and leaves a debt; what may wait asks first. One thread at a time.
class SendBudget
{
public:
  /// Adds what has accrued until `aNow`.
  void Refill(base::Instant aNow) { m_bucket.Refill(aNow); }

  /// Bytes that may be sent now; 0 while in debt.
  std::size_t Available() const;

  /// Bytes that may be sent for what is merely useful: a part is kept back for
  /// what is needed.
  std::size_t Spare() const;

  /// Notes `aBytes` as sent.
  void Spend(std::size_t aBytes);

private:
  static constexpr std::int64_t kBytesPerSecond = 400;
  static constexpr std::int64_t kBurstBytes = 3000;
  static constexpr std::int64_t kReserveBytes = 1000;

  base::TokenBucket m_bucket{ kBytesPerSecond, kBurstBytes };
};

} // namespace wasabiloom::peer
