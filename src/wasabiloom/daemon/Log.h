/// Structured log lines of the form key=value, on log4cxx.
#pragma once

#include "wasabiloom/core/Effects.h"

#include <string>

namespace wasabiloom::daemon {

/// Sends log lines to `aFile`, or to standard error when it is empty.
/// `aLevel` is one of debug, info, warn, error. Call once, before threads
/// start.
void
SetUpLog(const std::string& aLevel, const std::string& aFile);

/// Flushes and closes the log. Thread safe.
void
CloseLog();

/// Quotes `aText` when it holds spaces or quotes. Thread safe.
std::string
Quote(const std::string& aText);

/// One line for one placement of a flow. Thread safe.
void
LogFlow(const core::FlowDecision& aDecision);

/// One line for one decision about a request. Thread safe.
void
LogRequest(const request::RequestDecision& aDecision);

/// One line for one event; errors are warnings. Thread safe.
void
LogEvent(const core::HostEvent& aEvent);

} // namespace wasabiloom::daemon
