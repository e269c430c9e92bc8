/// Notices that a settings file has changed, with a signal or without.
#pragma once

#include <QObject>
#include <QTimer>

#include <functional>
#include <string>

namespace wasabiloom::daemon {

/// Reads a file now and then and hands its text over when it differs from
/// what was seen last. Lives on the thread that made it.
class SettingsWatch final : public QObject
{
public:
  /// Remembers what the file at `aPath` holds now.
  SettingsWatch(std::string aPath,
                std::function<void(const std::string&)> aOnChange);

  /// Looks at once.
  void Check();

private:
  std::string m_path;
  std::string m_text;
  std::function<void(const std::string&)> m_onChange;
  QTimer m_timer;
};

} // namespace wasabiloom::daemon
