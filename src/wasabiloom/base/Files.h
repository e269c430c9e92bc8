/// Whole-file reading and writing.
#pragma once

#include "wasabiloom/base/Result.h"

#include <string>
#include <string_view>

namespace wasabiloom::base {

/// Content of the file at `aPath`. Errors: FileUnreadable. Thread safe.
Result<std::string>
ReadFile(const std::string& aPath);

/// Replaces the file at `aPath` in one step, so that readers see the old or
/// the new content. Errors: FileUnwritable. Thread safe.
Result<void>
WriteFile(const std::string& aPath, std::string_view aContent);

} // namespace wasabiloom::base
