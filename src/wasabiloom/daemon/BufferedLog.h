/// Log that never blocks: log4cxx appends to a LineBuffer.
#pragma once

#include "wasabiloom/daemon/LineBuffer.h"

#include <string>
#include <string_view>

namespace wasabiloom::daemon {

/// Severity of a log line.
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warn,
};

/// Writes log lines to `aBuffer`, which must outlive the log. `aLevel` is one
/// of debug, info, warn and error. Main thread only. May be called again to
/// change the level.
void
SetUpBufferedLog(const std::string& aLevel, LineBuffer& aBuffer);

/// Whether lines of severity `aLevel` are logged. Thread safe.
bool
IsLogged(LogLevel aLevel);

/// Logs one line of key=value pairs. Main thread only.
void
LogLine(LogLevel aLevel, std::string_view aLogger, const std::string& aText);

} // namespace wasabiloom::daemon
