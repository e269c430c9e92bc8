/// Tasks that watch the config service and the host list.
#pragma once

#include "wasabiloom/core/Inputs.h"
#include "wasabiloom/settings/HostSettings.h"

#include <functional>
#include <memory>
#include <string>

namespace wasabiloom::daemon {

/// Receives the platform's publications on the threads of the watch.
struct PlatformHandlers
{
  std::function<void(std::string)> m_onBundle;
  std::function<void(core::HostList)> m_onHostList;
};

/// Two threads, each with one blocking read at a time. Failed reads are
/// repeated with exponential backoff and jitter.
class PlatformWatch
{
public:
  /// Starts watching at once.
  PlatformWatch(const settings::HostSettings& aSettings,
                PlatformHandlers aHandlers);

  /// Cancels the blocking reads.
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
