/// Hash functions on which hosts must agree; the results are wire format.
#pragma once

#include <cstdint>
#include <string_view>

namespace wasabiloom::base {

/// XXH3 of `aText`, mixed with `aSeed`. Thread safe.
std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed = 0);

/// Finaliser with full avalanche. Thread safe.
constexpr std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 30;
  aValue *= 0xbf58476d1ce4e5b9ULL;
  aValue ^= aValue >> 27;
  aValue *= 0x94d049bb133111ebULL;
  aValue ^= aValue >> 31;
  return aValue;
}

/// Maps `aHash` to [0, 1). Thread safe.
constexpr double
PointOf(std::uint64_t aHash)
{
  return static_cast<double>(aHash >> 11) * 0x1p-53;
}

/// Combines two words into one. Thread safe.
constexpr std::uint64_t
Combine(std::uint64_t aLeft, std::uint64_t aRight)
{
  return Mix(aLeft + 0x9e3779b97f4a7c15ULL + Mix(aRight));
}

} // namespace wasabiloom::base
