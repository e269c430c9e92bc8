#include "PlatformServer.h"

#include <QCoreApplication>
#include <QTimer>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <stdexcept>

namespace standins {

namespace {

constexpr int kPollMs = 50;

} // namespace

void
ServeUntilStopped(const std::string& aListen,
                  grpc::Service& aService,
                  const std::function<void()>& aPoll,
                  const std::function<void()>& aStop)
{
  grpc::ServerBuilder builder;
  builder.AddListeningPort(aListen, grpc::InsecureServerCredentials());
  builder.RegisterService(&aService);
  const auto server = builder.BuildAndStart();
  if (!server) {
    throw std::runtime_error("cannot listen on " + aListen);
  }
  QTimer poll;
  QObject::connect(&poll, &QTimer::timeout, [&] { aPoll(); });
  poll.start(kPollMs);
  QCoreApplication::exec();
  aStop();
  server->Shutdown(std::chrono::system_clock::now());
}

} // namespace standins
