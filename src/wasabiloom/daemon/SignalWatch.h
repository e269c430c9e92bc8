/// Turns signals into calls on the Qt event loop.
#pragma once

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace wasabiloom::daemon {

/// Makes the signals that a SignalWatch with a reload handles wait for it.
/// Until then they would end the process. Call it first in the main function.
void
HoldSignals();

/// Calls `aOnStop` at the first SIGTERM or SIGINT, and ends the process at the
/// second. Calls `aOnReload`, if set, at each SIGHUP. Must be created on the
/// main thread before other threads start.
class SignalWatch final : public QObject
{
public:
  explicit SignalWatch(std::function<void()> aOnStop,
                       std::function<void()> aOnReload = nullptr);
  ~SignalWatch() override;

private:
  void OnReadable();

  std::function<void()> m_onStop;
  std::function<void()> m_onReload;
  int m_descriptor = -1;
  bool m_stopping = false;
  std::unique_ptr<QSocketNotifier> m_notifier;
};

} // namespace wasabiloom::daemon
