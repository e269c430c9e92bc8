/// Identity of an entry host.
#pragma once

#include "wasabiloom/base/Hash.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace wasabiloom::base {

/// Short identity of an entry host, derived from its name.
struct HostId
{
  std::uint32_t m_value = 0;

  friend auto operator<=>(const HostId&, const HostId&) = default;
};

/// Identity of the host named `aName`. Thread safe.
inline HostId
MakeHostId(std::string_view aName)
{
  return HostId{ static_cast<std::uint32_t>(HashText(aName)) };
}

} // namespace wasabiloom::base
