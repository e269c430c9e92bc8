/// Levels of the log that settings may name; the first is the default.
#pragma once

#include <array>
#include <string_view>

namespace wasabiloom::settings {

constexpr std::array<std::string_view, 4> kLogLevels = { "info",
                                                         "debug",
                                                         "warn",
                                                         "error" };

} // namespace wasabiloom::settings
