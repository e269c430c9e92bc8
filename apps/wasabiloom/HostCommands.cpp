#include "Commands.h"
#include "Options.h"

#include "generated/operator.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <iostream>

namespace wasabiloom::cli {

namespace {

namespace options = boost::program_options;

using base::Result;
using base::ResultCode;

constexpr int kExitOk = 0;
constexpr std::chrono::seconds kCallTimeout{ 3 };

std::unique_ptr<operators::Operator::Stub>
ConnectTo(const std::string& aHost)
{
  return operators::Operator::NewStub(
    grpc::CreateChannel(aHost, grpc::InsecureChannelCredentials()));
}

Result<void>
ToResult(const grpc::Status& aStatus, const std::string& aHost)
{
  if (aStatus.ok()) {
    return {};
  }
  const bool missing = aStatus.error_code() == grpc::StatusCode::NOT_FOUND;
  return base::Fail(missing ? ResultCode::ValueNotFound
                            : ResultCode::PeerUnreachable,
                    aHost + ": " + aStatus.error_message());
}

void
Print(const operators::StatusReply& aReply)
{
  std::cout << "host=" << aReply.host() << " zone=" << aReply.zone()
            << " ready=" << (aReply.ready() ? 1 : 0)
            << " bundle=" << aReply.bundle_version()
            << " list=" << aReply.list_revision() << " flows=" << aReply.flows()
            << " requests=" << aReply.requests_in_progress()
            << " live_peers=" << aReply.live_hosts_size() << "\n";
  for (const auto& service : aReply.services()) {
    std::cout << "service=" << service.name()
              << " table=" << service.table_version()
              << " pinned=" << service.pinned_flows()
              << " moving=" << service.moving_buckets() << "\n";
    for (const auto& target : service.targets()) {
      std::cout << "  target=" << target.name() << " state=" << target.state()
                << " rows=" << target.buckets() << " flows=" << target.flows()
                << "\n";
    }
  }
}

} // namespace

Result<int>
Status(const Words& aWords)
{
  options::options_description known("status");
  known.add_options()("host",
                      options::value<std::string>()->required(),
                      "control address of a host, A.B.C.D:PORT");
  BOOST_LEAF_AUTO(chosen, ParseOptions(aWords, known, { "host" }));
  const auto host = chosen["host"].as<std::string>();
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
  operators::StatusReply reply;
  const auto status = ConnectTo(host)->Status(&context, {}, &reply);
  BOOST_LEAF_CHECK(ToResult(status, host));
  Print(reply);
  return kExitOk;
}

Result<int>
Explain(const Words& aWords)
{
  options::options_description known("explain");
  known.add_options()("host",
                      options::value<std::string>()->required(),
                      "control address of a host, A.B.C.D:PORT")(
    "protocol",
    options::value<std::string>()->default_value("tcp"),
    "tcp or udp")(
    "caller", options::value<std::string>()->required(), "A.B.C.D:PORT")(
    "service", options::value<std::string>()->required(), "A.B.C.D:PORT");
  BOOST_LEAF_AUTO(chosen, ParseOptions(aWords, known, {}));
  const auto host = chosen["host"].as<std::string>();
  operators::ExplainRequest request;
  request.set_protocol(chosen["protocol"].as<std::string>());
  request.set_caller(chosen["caller"].as<std::string>());
  request.set_service_address(chosen["service"].as<std::string>());
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
  operators::ExplainReply reply;
  const auto status = ConnectTo(host)->Explain(&context, request, &reply);
  BOOST_LEAF_CHECK(ToResult(status, host));
  std::cout << "service=" << reply.service() << " target=" << reply.target()
            << " address=" << reply.target_address()
            << " reason=" << reply.reason() << "\n";
  for (const std::string& step : reply.steps()) {
    std::cout << "  " << step << "\n";
  }
  return kExitOk;
}

} // namespace wasabiloom::cli
