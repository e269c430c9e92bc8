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
  /// `aText` is the text of the file at `aPath` that is in force.
  SettingsWatch(std::string aPath,
                std::string aText,
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
