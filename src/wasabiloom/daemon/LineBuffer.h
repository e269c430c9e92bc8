/// Log lines on their way to a descriptor that must never be waited for.
#pragma once

#include "wasabiloom/base/TokenBucket.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabiloom::daemon {

/// Most bytes that wait; lines beyond are dropped and counted.
constexpr std::size_t kMaxWaitingBytes = 256 * 1024;

/// A host may use up the allowance of so many seconds at once.
constexpr std::int64_t kAllowanceBurstS = 10;

/// Collects lines and writes them in large pieces when the descriptor takes
/// them. One thread at a time.
class LineBuffer
{
public:
  explicit LineBuffer(int aDescriptor);

  /// Limits what is written in the long run; lines beyond are dropped and
  /// counted. 0 for no limit.
  void SetAllowance(std::int64_t aBytesPerSecond);

  /// Adds to the allowance what has accrued until `aNow`.
  void Refill(base::Instant aNow);

  /// Adds one line; its end is added.
  void Append(std::string_view aLine);

  /// Writes what the descriptor takes without waiting.
  void Flush();

  /// Lines dropped since the start.
  std::uint64_t Dropped() const { return m_dropped; }

private:
  int m_descriptor;
  std::string m_waiting;
  std::int64_t m_bytesPerSecond = 0;
  std::optional<base::TokenBucket> m_allowance;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_reported = 0;
};

} // namespace wasabiloom::daemon
