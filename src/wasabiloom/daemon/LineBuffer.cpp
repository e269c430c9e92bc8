#include "wasabiloom/daemon/LineBuffer.h"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

namespace wasabiloom::daemon {

namespace {

/// Number of bytes that a pipe accepts without blocking when it polls as
/// writable.
constexpr std::size_t kPieceBytes = 4096;

bool
IsWritable(int aDescriptor)
{
  pollfd ask{ aDescriptor, POLLOUT, 0 };
  return poll(&ask, 1, 0) == 1 && (ask.revents & POLLOUT) != 0;
}

} // namespace

LineBuffer::LineBuffer(int aDescriptor)
  : m_descriptor(aDescriptor)
{
}

void
LineBuffer::SetAllowance(std::int64_t aBytesPerSecond)
{
  if (aBytesPerSecond == m_bytesPerSecond) {
    return;
  }
  m_bytesPerSecond = aBytesPerSecond;
  m_allowance.reset();
  if (aBytesPerSecond > 0) {
    m_allowance.emplace(aBytesPerSecond, aBytesPerSecond * kAllowanceBurstS);
  }
}

void
LineBuffer::Refill(base::Instant aNow)
{
  if (m_allowance) {
    m_allowance->Refill(aNow);
  }
}

void
LineBuffer::Append(std::string_view aLine)
{
  const bool isSpent = m_allowance && m_allowance->Level() <= 0;
  if (isSpent || m_waiting.size() + aLine.size() > kMaxWaitingBytes) {
    ++m_dropped;
    return;
  }
  if (m_allowance) {
    m_allowance->Spend(static_cast<std::int64_t>(aLine.size()) + 1);
  }
  if (m_dropped > m_reported) {
    m_waiting += "event=log_lines_dropped total=" + std::to_string(m_dropped);
    m_waiting += '\n';
    m_reported = m_dropped;
  }
  // A line may quote names that other programs wrote.
  for (const char byte : aLine) {
    const bool isControl = static_cast<unsigned char>(byte) < ' ';
    m_waiting += isControl ? ' ' : byte;
  }
  m_waiting += '\n';
}

void
LineBuffer::Flush()
{
  std::size_t written = 0;
  while (written < m_waiting.size() && IsWritable(m_descriptor)) {
    const std::size_t piece = std::min(kPieceBytes, m_waiting.size() - written);
    const ssize_t count =
      write(m_descriptor, m_waiting.data() + written, piece);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  m_waiting.erase(0, written);
}

} // namespace wasabiloom::daemon
