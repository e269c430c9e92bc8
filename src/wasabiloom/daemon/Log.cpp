#include "wasabiloom/daemon/Log.h"

#include "wasabiloom/base/Hex.h"

#include <log4cxx/appender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <sstream>

namespace wasabiloom::daemon {

namespace {

const char* const kPattern =
  "ts=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p log=%c %m%n";

log4cxx::LoggerPtr
FlowLogger()
{
  static const auto sLogger = log4cxx::Logger::getLogger("flow");
  return sLogger;
}

log4cxx::LoggerPtr
RequestLogger()
{
  static const auto sLogger = log4cxx::Logger::getLogger("request");
  return sLogger;
}

log4cxx::LoggerPtr
EventLogger()
{
  static const auto sLogger = log4cxx::Logger::getLogger("host");
  return sLogger;
}

} // namespace

void
SetUpLog(const std::string& aLevel, const std::string& aFile)
{
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  log4cxx::AppenderPtr appender;
  if (aFile.empty()) {
    appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, aFile, true);
  }
  log4cxx::BasicConfigurator::configure(appender);
  const auto level = log4cxx::Level::toLevel(aLevel, log4cxx::Level::getInfo());
  log4cxx::Logger::getRootLogger()->setLevel(level);
}

void
CloseLog()
{
  log4cxx::LogManager::shutdown();
}

std::string
Quote(const std::string& aText)
{
  if (!aText.empty() && aText.find_first_of(" \"=\n\\") == std::string::npos) {
    return aText;
  }
  std::string quoted = "\"";
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + '"';
}

void
LogFlow(const core::FlowDecision& aDecision)
{
  const auto logger = FlowLogger();
  const auto level =
    aDecision.m_opens ? log4cxx::Level::getInfo() : log4cxx::Level::getDebug();
  if (!logger->isEnabledFor(level)) {
    return;
  }
  std::ostringstream line;
  line << "event=" << (aDecision.m_opens ? "flow_placed" : "flow_seen")
       << " service=" << aDecision.m_service
       << " caller=" << ToString(aDecision.m_flow.m_caller)
       << " target=" << aDecision.m_target
       << " reason=" << ToString(aDecision.m_reason)
       << " relayed=" << (aDecision.m_relayed ? 1 : 0);
  logger->forcedLog(level, line.str());
}

void
LogRequest(const request::RequestDecision& aDecision)
{
  const auto logger = RequestLogger();
  const auto level = log4cxx::Level::getInfo();
  if (!logger->isEnabledFor(level)) {
    return;
  }
  std::ostringstream line;
  line << "event=request service=" << aDecision.m_service
       << " id=" << base::ToHex(aDecision.m_id)
       << " target=" << (aDecision.m_target.empty() ? "-" : aDecision.m_target)
       << " reason=" << aDecision.m_reason
       << " code=" << static_cast<int>(aDecision.m_code);
  logger->forcedLog(level, line.str());
}

void
LogEvent(const core::HostEvent& aEvent)
{
  const bool failed = aEvent.m_code != base::ResultCode::Ok;
  const auto level =
    failed ? log4cxx::Level::getWarn() : log4cxx::Level::getInfo();
  const auto logger = EventLogger();
  if (!logger->isEnabledFor(level)) {
    return;
  }
  std::ostringstream line;
  line << "event=" << aEvent.m_what
       << " code=" << static_cast<int>(aEvent.m_code)
       << " detail=" << Quote(aEvent.m_detail);
  logger->forcedLog(level, line.str());
}

} // namespace wasabiloom::daemon
