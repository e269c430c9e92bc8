/// Tasks that watch the config service and the host list.
#pragma once

#include "wasabiloom/core/Inputs.h"
#include "wasabiloom/settings/HostSettings.h"

#include <functional>
#include <memory>
#include <string>

namespace wasabiloom::daemon {

/// Receives what the platform publishes; called on the watch's threads.
struct PlatformHandlers
{
  std::function<void(std::string)> m_onBundle;
  std::function<void(core::HostList)> m_onHostList;
};

/// Two threads, each with one waiting read at a time, and a back-off with
/// jitter while the platform does not answer.
class PlatformWatch
{
public:
  /// Starts watching at once.
  PlatformWatch(const settings::HostSettings& aSettings,
                PlatformHandlers aHandlers);

  /// Cancels the waiting reads.
  ~PlatformWatch();
  PlatformWatch(const PlatformWatch&) = delete;
  PlatformWatch& operator=(const PlatformWatch&) = delete;

private:
  class Loop;
  class BundleLoop;
  class HostListLoop;

  std::unique_ptr<BundleLoop> m_bundle;
  std::unique_ptr<HostListLoop> m_hostList;
};

} // namespace wasabiloom::daemon
