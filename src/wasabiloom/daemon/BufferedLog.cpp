#include "wasabiloom/daemon/BufferedLog.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace wasabiloom::daemon {

namespace {

const char* const kPattern = "ts=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p "
                             "log=%c %m";

/// Formats events into a LineBuffer.
class BufferAppender final : public log4cxx::AppenderSkeleton
{
public:
  BufferAppender(const log4cxx::LayoutPtr& aLayout, LineBuffer& aBuffer)
    : m_buffer(aBuffer)
  {
    setLayout(aLayout);
  }

  ~BufferAppender() override = default;

  const log4cxx::helpers::Class& getClass() const override
  {
    return log4cxx::AppenderSkeleton::getStaticClass();
  }

  void close() override {}
  bool requiresLayout() const override { return true; }

private:
  void append(const log4cxx::spi::LoggingEventPtr& aEvent,
              log4cxx::helpers::Pool& aPool) override
  {
    log4cxx::LogString text;
    getLayout()->format(text, aEvent, aPool);
    std::string line;
    log4cxx::helpers::Transcoder::encode(text, line);
    m_buffer.Append(line);
  }

  LineBuffer& m_buffer;
};

log4cxx::LevelPtr
ToLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warn:
      return log4cxx::Level::getWarn();
  }
  return log4cxx::Level::getInfo();
}

} // namespace

void
SetUpBufferedLog(const std::string& aLevel, LineBuffer& aBuffer)
{
  const auto root = log4cxx::Logger::getRootLogger();
  if (root->getAllAppenders().empty()) {
    const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
    log4cxx::BasicConfigurator::configure(
      std::make_shared<BufferAppender>(layout, aBuffer));
  }
  root->setLevel(log4cxx::Level::toLevel(aLevel, log4cxx::Level::getInfo()));
}

bool
IsLogged(LogLevel aLevel)
{
  return log4cxx::Logger::getRootLogger()->isEnabledFor(ToLevel(aLevel));
}

void
LogLine(LogLevel aLevel, std::string_view aLogger, const std::string& aText)
{
  const auto logger = log4cxx::Logger::getLogger(std::string(aLogger));
  const auto level = ToLevel(aLevel);
  if (logger->isEnabledFor(level)) {
    logger->forcedLog(level, aText);
  }
}

} // namespace wasabiloom::daemon
