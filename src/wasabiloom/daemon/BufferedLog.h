/// The log of a host that must not wait for it: log4cxx into a LineBuffer.
#pragma once

#include "wasabiloom/daemon/LineBuffer.h"

#include <string>
#include <string_view>

namespace wasabiloom::daemon {

/// Severity of a line.
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warn,
};

/// Sends log lines through `aBuffer`, which must outlive the log. `aLevel` is
/// one of debug, info, warn, error. Call on the main thread; may be called
/// again to change the level.
void
SetUpBufferedLog(const std::string& aLevel, LineBuffer& aBuffer);

/// Whether lines of `aLevel` are written. Thread safe.
bool
IsLogged(LogLevel aLevel);

/// One structured line of key=value. Main thread only.
void
LogLine(LogLevel aLevel, std::string_view aLogger, const std::string& aText);

} // namespace wasabiloom::daemon
