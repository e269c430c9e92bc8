/// Bytes with a format and a checksum, so that a part is never taken for the
/// whole.
#pragma once

#include "wasabiloom/base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace wasabiloom::base {

/// Puts format and checksum before `aBody`. Thread safe.
std::string
Seal(std::uint8_t aFormat, std::string_view aBody);

/// The body of a frame of `aFormat`. Errors: PeerMessageMalformed when the
/// format is another one or the checksum does not fit. Thread safe.
Result<std::string_view>
Unseal(std::uint8_t aFormat, std::string_view aFrame);

} // namespace wasabiloom::base
