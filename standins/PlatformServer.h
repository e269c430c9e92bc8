/// What the stand-ins of the platform share: a gRPC server fed from files.
#pragma once

#include <grpcpp/impl/service_type.h>

#include <functional>
#include <string>

namespace standins {

/// Serves `aService` on `aListen` until a signal comes, calling `aPoll` at
/// short intervals and `aStop` at the end, to release waiting calls. Throws
/// std::runtime_error when it cannot listen. Precondition: a QCoreApplication
/// exists.
void
ServeUntilStopped(const std::string& aListen,
                  grpc::Service& aService,
                  const std::function<void()>& aPoll,
                  const std::function<void()>& aStop);

} // namespace standins
