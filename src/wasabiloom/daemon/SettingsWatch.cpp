#include "wasabiloom/daemon/SettingsWatch.h"

#include "wasabiloom/base/Files.h"
#include "wasabiloom/daemon/BufferedLog.h"

namespace wasabiloom::daemon {

namespace {

constexpr std::chrono::seconds kInterval{ 2 };

} // namespace

SettingsWatch::SettingsWatch(std::string aPath,
                             std::string aText,
                             std::function<void(const std::string&)> aOnChange)
  : m_path(std::move(aPath))
  , m_text(std::move(aText))
  , m_onChange(std::move(aOnChange))
{
  m_timer.setInterval(kInterval);
  connect(&m_timer, &QTimer::timeout, this, [this] { Check(); });
  m_timer.start();
}

void
SettingsWatch::Check()
{
  base::Handle(
    [&]() -> base::Result<void> {
      BOOST_LEAF_AUTO(text, base::ReadFile(m_path));
      if (text == m_text) {
        return {};
      }
      m_text = text;
      m_onChange(text);
      return {};
    },
    [&](const base::Problem& aProblem) {
      LogLine(LogLevel::Warn,
              "host",
              "event=settings_unreadable detail=\"" + Describe(aProblem) +
                "\"");
    });
}

} // namespace wasabiloom::daemon
