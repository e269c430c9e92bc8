/// Detects changes of a settings file, with and without a signal.
#pragma once

#include <QObject>
#include <QTimer>

#include <functional>
#include <string>

namespace wasabiloom::daemon {

/// Reads a file periodically and passes on its text when it has changed. Use it
/// on the thread that created it.
class SettingsWatch final : public QObject
{
public:
  /// Stores the current text of the file at `aPath` for comparison.
  SettingsWatch(std::string aPath,
                std::function<void(const std::string&)> aOnChange);

  /// Checks the file at once.
  void Check();

private:
  std::string m_path;
  std::string m_text;
  std::function<void(const std::string&)> m_onChange;
  QTimer m_timer;
};

} // namespace wasabiloom::daemon
