#include "support/EventLoop.h"

namespace wasabiloom::tests {

namespace {

/// Far longer than any step takes, also on a busy machine.
constexpr qint64 kPatienceMs = 60'000;

QCoreApplication&
Application()
{
  static int sCount = 1;
  static char sName[] = "tests";
  static char* sWords[] = { sName, nullptr };
  static QCoreApplication sApplication(sCount, sWords);
  return sApplication;
}

} // namespace

bool
RunUntil(const std::function<bool()>& aDone)
{
  Application();
  QElapsedTimer clock;
  clock.start();
  while (!aDone()) {
    if (clock.elapsed() > kPatienceMs) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  }
  return true;
}

} // namespace wasabiloom::tests
