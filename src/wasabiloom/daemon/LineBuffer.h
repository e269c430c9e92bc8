/// Buffer of log lines that are written to a descriptor without blocking.
#pragma once

#include "wasabiloom/base/TokenBucket.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabiloom::daemon {

/// Maximum number of buffered bytes. Further lines are dropped and counted.
constexpr std::size_t kMaxWaitingBytes = 256 * 1024;

/// Number of seconds of the allowance that can be used as a burst.
constexpr std::int64_t kAllowanceBurstS = 10;

/// Collects lines and writes them in large blocks when the descriptor is
/// writable. Not thread safe.
class LineBuffer
{
public:
  explicit LineBuffer(int aDescriptor);

  /// Limits the average number of bytes written per second. Further lines are
  /// dropped and counted. 0 for no limit.
  void SetAllowance(std::int64_t aBytesPerSecond);

  /// Adds the allowance accrued up to `aNow`.
  void Refill(base::Instant aNow);

  /// Adds one line and a line break.
  void Append(std::string_view aLine);

  /// Writes as much as the descriptor accepts without blocking.
  void Flush();

  /// Number of lines dropped since the start.
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
