/// Compact code for ascending sets of integers.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wasabiloom::wire {

/// Differences of an ascending sequence: quotients in unary, `m_lowBits` low
/// bits in binary, packed from the lowest bit of each byte.
struct RiceCoded
{
  std::uint32_t m_lowBits = 0;
  std::uint32_t m_count = 0;
  std::string m_bytes;

  friend auto operator<=>(const RiceCoded&, const RiceCoded&) = default;
};

/// Precondition: `aAscending` is ascending and each value is below 2^48.
/// Thread safe.
RiceCoded
RiceEncode(const std::vector<std::uint64_t>& aAscending);

/// Empty when `aCoded` cannot be the work of RiceEncode. Reads nothing outside
/// the bytes and takes time and memory in proportion to them. Thread safe.
std::optional<std::vector<std::uint64_t>>
RiceDecode(const RiceCoded& aCoded);

} // namespace wasabiloom::wire
