/// gRPC server for operators and for large messages from peers.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/daemon/CoreTask.h"

#include <memory>

namespace wasabiloom::daemon {

/// Serves on its own threads and sends requests to the core's task as messages.
class ControlServer
{
public:
  /// `aTask` must outlive the server. Errors: SocketFailed.
  static base::Result<std::unique_ptr<ControlServer>> Start(
    const base::Endpoint& aLocal,
    CoreTask& aTask);

  /// Cancels calls in progress.
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

private:
  struct Parts;

  explicit ControlServer(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> m_parts;
};

} // namespace wasabiloom::daemon
