/// Structured log lines of the form key=value, on log4cxx.
#pragma once

#include "wasabiloom/core/Effects.h"

#include <string>

namespace wasabiloom::daemon {

/// Writes log lines to `aFile`, or to standard error if it is empty.
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

/// Logs the placement of a flow. Thread safe.
void
LogFlow(const core::FlowDecision& aDecision);

/// Logs a decision on a request. Thread safe.
void
LogRequest(const request::RequestDecision& aDecision);

/// Logs an event. Errors are logged as warnings. Thread safe.
void
LogEvent(const core::HostEvent& aEvent);

} // namespace wasabiloom::daemon
