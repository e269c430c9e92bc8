/// Bytes as hexadecimal text.
#pragma once

#include <string>
#include <string_view>

namespace wasabiloom::base {

/// Two lower-case digits for each byte. Thread safe.
std::string
ToHex(std::string_view aBytes);

} // namespace wasabiloom::base
