/// Log lines on their way to a descriptor that must never be waited for.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wasabiloom::daemon {

/// Most bytes that wait; lines beyond are dropped and counted.
constexpr std::size_t kMaxWaitingBytes = 256 * 1024;

/// Collects lines and writes them in large pieces when the descriptor takes
/// them. One thread at a time.
class LineBuffer
{
public:
  explicit LineBuffer(int aDescriptor);

  /// Adds one line; its end is added.
  void Append(std::string_view aLine);

  /// Writes what the descriptor takes without waiting.
  void Flush();

  /// Lines dropped since the start.
  std::uint64_t Dropped() const { return m_dropped; }

private:
  int m_descriptor;
  std::string m_waiting;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_reported = 0;
};

} // namespace wasabiloom::daemon
