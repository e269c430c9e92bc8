#include "wasabiloom/daemon/UpdateTiming.h"

#include <algorithm>

namespace wasabiloom::daemon {

namespace {

/// Shares of the bound, in hundredths. An update arrives at the latest after
/// one watch and one pause, so the largest update age must exceed their sum.
constexpr int kWaitShare = 27;
constexpr int kPaceShare = 20;
constexpr int kPatienceShare = 60;
constexpr int kStaggerShare = 3;
constexpr int kWhole = 100;

/// Share of the time within which a host must be up to date again that a watch
/// may take.
constexpr int kTouchUsed = 7;
constexpr int kTouchParts = 8;

} // namespace

registry::ReaderTiming
ReaderTimingOf(const settings::TokenHostSettings& aSettings)
{
  registry::ReaderTiming timing;
  timing.m_watchWait =
    std::min(aSettings.m_updateDeadline * kWaitShare / kWhole,
             aSettings.m_inTouch * kTouchUsed / kTouchParts);
  timing.m_pauseAfterChanges = aSettings.m_updateDeadline * kPaceShare / kWhole;
  return timing;
}

fleet::RelayTiming
RelayTimingOf(const settings::TokenHostSettings& aSettings)
{
  return { aSettings.m_updateDeadline * kPatienceShare / kWhole,
           aSettings.m_updateDeadline * kStaggerShare / kWhole };
}

std::uint32_t
CapacityOf(const settings::TokenHostSettings& aSettings)
{
  const double capacity = aSettings.m_linkMbps * aSettings.m_cores;
  return std::max(1U, static_cast<std::uint32_t>(capacity));
}

} // namespace wasabiloom::daemon
