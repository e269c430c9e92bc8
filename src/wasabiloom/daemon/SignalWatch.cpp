#include "wasabiloom/daemon/SignalWatch.h"

#include <csignal>
#include <cstdlib>

#include <sys/signalfd.h>
#include <unistd.h>

namespace wasabiloom::daemon {

namespace {

constexpr int kForcedExit = 130;

sigset_t
WatchedSignals(bool aReloads)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  if (aReloads) {
    sigaddset(&signals, SIGHUP);
  }
  return signals;
}

} // namespace

void
HoldSignals()
{
  const sigset_t signals = WatchedSignals(true);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

SignalWatch::SignalWatch(std::function<void()> aOnStop,
                         std::function<void()> aOnReload)
  : m_onStop(std::move(aOnStop))
  , m_onReload(std::move(aOnReload))
{
  const sigset_t signals = WatchedSignals(m_onReload != nullptr);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  m_descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  m_notifier =
    std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Read);
  connect(m_notifier.get(), &QSocketNotifier::activated, this, [this] {
    OnReadable();
  });
}

SignalWatch::~SignalWatch()
{
  m_notifier.reset();
  close(m_descriptor);
}

void
SignalWatch::OnReadable()
{
  signalfd_siginfo info{};
  while (read(m_descriptor, &info, sizeof(info)) == sizeof(info)) {
    if (info.ssi_signo == SIGHUP) {
      m_onReload();
      continue;
    }
    if (m_stopping) {
      std::_Exit(kForcedExit);
    }
    m_stopping = true;
    m_onStop();
  }
}

} // namespace wasabiloom::daemon
