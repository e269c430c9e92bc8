#include "wasabiloom/daemon/ControlServer.h"

#include "generated/operator.grpc.pb.h"
#include "generated/peer_service.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <future>

namespace wasabiloom::daemon {

namespace {

constexpr std::chrono::seconds kCoreAnswerTimeout{ 2 };

/// Runs `aQuestion` on the core's task and waits for its answer.
template<typename Answer, typename Question>
bool
Ask(CoreTask& aTask, Question aQuestion, Answer& aAnswer)
{
  const auto promise = std::make_shared<std::promise<Answer>>();
  auto future = promise->get_future();
  aTask.Post([promise, aQuestion](core::HostCore& aCore, base::Instant) {
    promise->set_value(aQuestion(aCore));
  });
  if (future.wait_for(kCoreAnswerTimeout) != std::future_status::ready) {
    return false;
  }
  aAnswer = future.get();
  return true;
}

grpc::Status
Busy()
{
  return { grpc::StatusCode::UNAVAILABLE, "the host did not answer in time" };
}

void
Fill(operators::ServiceStatus* aOut, const core::ServiceStatus& aStatus)
{
  aOut->set_name(aStatus.m_name);
  aOut->set_table_version(aStatus.m_tableVersion);
  aOut->set_pinned_flows(aStatus.m_pinnedFlows);
  aOut->set_moving_buckets(aStatus.m_movingRows);
  for (const core::TargetStatus& target : aStatus.m_targets) {
    operators::TargetStatus* out = aOut->add_targets();
    out->set_name(target.m_name);
    out->set_state(target.m_state);
    out->set_buckets(target.m_rows);
    out->set_flows(target.m_flows);
  }
}

class OperatorService final : public operators::Operator::Service
{
public:
  explicit OperatorService(CoreTask& aTask)
    : m_task(aTask)
  {
  }

  grpc::Status Status(grpc::ServerContext* /*aContext*/,
                      const operators::StatusRequest* /*aRequest*/,
                      operators::StatusReply* aReply) override
  {
    core::HostStatus status;
    const auto question = [](const core::HostCore& aCore) {
      return aCore.Status();
    };
    if (!Ask(m_task, question, status)) {
      return Busy();
    }
    aReply->set_host(status.m_host);
    aReply->set_zone(status.m_zone);
    aReply->set_ready(status.m_ready);
    aReply->set_bundle_version(status.m_bundleVersion);
    aReply->set_list_revision(status.m_listRevision);
    aReply->set_flows(status.m_flows);
    aReply->set_requests_in_progress(status.m_requestsInProgress);
    for (const std::string& peer : status.m_livePeers) {
      aReply->add_live_hosts(peer);
    }
    for (const core::ServiceStatus& service : status.m_services) {
      Fill(aReply->add_services(), service);
    }
    return grpc::Status::OK;
  }

  grpc::Status Explain(grpc::ServerContext* /*aContext*/,
                       const operators::ExplainRequest* aRequest,
                       operators::ExplainReply* aReply) override
  {
    const auto caller = base::ParseEndpoint(aRequest->caller());
    const auto service = base::ParseEndpoint(aRequest->service_address());
    if (!caller || !service) {
      return { grpc::StatusCode::INVALID_ARGUMENT,
               "expected addresses of the form A.B.C.D:PORT" };
    }
    const auto protocol = aRequest->protocol() == "udp" ? packet::Protocol::Udp
                                                        : packet::Protocol::Tcp;
    const packet::FlowKey flow{ *caller, { protocol, *service } };
    core::Explanation explanation;
    const auto question = [flow](const core::HostCore& aCore) {
      return base::Handle(
        [&] { return aCore.Explain(flow); },
        [](const base::Problem&) { return core::Explanation{}; });
    };
    if (!Ask(m_task, question, explanation)) {
      return Busy();
    }
    if (explanation.m_service.empty()) {
      return { grpc::StatusCode::NOT_FOUND, "no service at that address" };
    }
    aReply->set_service(explanation.m_service);
    aReply->set_target(explanation.m_target);
    aReply->set_target_address(explanation.m_targetAddress);
    aReply->set_reason(explanation.m_reason);
    for (const std::string& step : explanation.m_steps) {
      aReply->add_steps(step);
    }
    return grpc::Status::OK;
  }

private:
  CoreTask& m_task;
};

class PeerLinkService final : public peers::PeerLink::Service
{
public:
  explicit PeerLinkService(CoreTask& aTask)
    : m_task(aTask)
  {
  }

  grpc::Status Deliver(grpc::ServerContext* /*aContext*/,
                       const peers::Frame* aFrame,
                       peers::FrameAccepted* /*aReply*/) override
  {
    m_task.PostPeerFrame(aFrame->datagram());
    return grpc::Status::OK;
  }

private:
  CoreTask& m_task;
};

} // namespace

/// The services and the server that carries them.
struct ControlServer::Parts
{
  explicit Parts(CoreTask& aTask)
    : m_operator(aTask)
    , m_peerLink(aTask)
  {
  }

  OperatorService m_operator;
  PeerLinkService m_peerLink;
  std::unique_ptr<grpc::Server> m_server;
};

ControlServer::ControlServer(std::unique_ptr<Parts> aParts)
  : m_parts(std::move(aParts))
{
}

base::Result<std::unique_ptr<ControlServer>>
ControlServer::Start(const base::Endpoint& aLocal, CoreTask& aTask)
{
  auto parts = std::make_unique<Parts>(aTask);
  grpc::ServerBuilder builder;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(ToString(aLocal), grpc::InsecureServerCredentials());
  builder.RegisterService(&parts->m_operator);
  builder.RegisterService(&parts->m_peerLink);
  parts->m_server = builder.BuildAndStart();
  if (!parts->m_server) {
    return base::Fail(base::ResultCode::SocketFailed,
                      "gRPC " + ToString(aLocal) + ": cannot listen");
  }
  return std::unique_ptr<ControlServer>(new ControlServer(std::move(parts)));
}

ControlServer::~ControlServer()
{
  m_parts->m_server->Shutdown(std::chrono::system_clock::now() +
                              kCoreAnswerTimeout);
}

} // namespace wasabiloom::daemon
