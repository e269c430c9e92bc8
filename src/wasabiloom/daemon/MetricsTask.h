/// Metrics over HTTP, on prometheus-cpp.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Result.h"
#include "wasabiloom/core/Counters.h"
#include "wasabiloom/core/Status.h"

#include <memory>

namespace wasabiloom::daemon {

/// Serves the latest published snapshot.
class MetricsTask
{
public:
  /// Listens on `aLocal`. Errors: SocketFailed.
  static base::Result<std::unique_ptr<MetricsTask>> Start(
    const base::Endpoint& aLocal);

  ~MetricsTask();
  MetricsTask(const MetricsTask&) = delete;
  MetricsTask& operator=(const MetricsTask&) = delete;

  /// Publishes a snapshot. Not thread safe.
  void Publish(const core::Counters& aCounters,
               const core::HostStatus& aStatus);

private:
  struct Families;

  explicit MetricsTask(std::unique_ptr<Families> aFamilies);

  std::unique_ptr<Families> m_families;
};

} // namespace wasabiloom::daemon
