/// Totals that the core keeps about its own work.
#pragma once

#include "wasabiloom/base/ResultCode.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace wasabiloom::core {

/// Counts since the core started. Read on the driver's thread.
struct Counters
{
  std::uint64_t m_forwarded = 0;
  std::uint64_t m_relayed = 0;
  std::uint64_t m_requestPackets = 0;
  std::uint64_t m_flowsSeen = 0;
  std::uint64_t m_flowsOpened = 0;
  std::uint64_t m_peerMessages = 0;
  std::uint64_t m_bundlesAccepted = 0;
  /// Refused or dropped inputs by number of the result code.
  std::array<std::uint64_t, 700> m_refused{};

  /// Counts one refused input.
  void Refuse(base::ResultCode aCode)
  {
    ++m_refused[static_cast<std::size_t>(aCode)];
  }
};

} // namespace wasabiloom::core
