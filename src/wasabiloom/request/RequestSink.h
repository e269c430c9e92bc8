/// Output interface of the request dispatcher.
#pragma once

#include "wasabiloom/packet/IpPacket.h"
#include "wasabiloom/request/Envelope.h"

#include <string>
#include <string_view>

namespace wasabiloom::request {

/// One decision about a request, as recorded in the decision log.
struct RequestDecision
{
  std::string m_service;
  std::string m_id;
  std::string m_target;
  std::string_view m_reason;
  base::ResultCode m_code = base::ResultCode::Ok;

  friend auto operator<=>(const RequestDecision&,
                          const RequestDecision&) = default;
};

/// Receives the datagrams and decisions of a request dispatcher. Not thread
/// safe: at most one thread at a time.
class RequestSink
{
public:
  virtual ~RequestSink();

  /// Sends `aEnvelope` to a backend server.
  virtual void SendToBackend(const base::Endpoint& aTo,
                             const Envelope& aEnvelope) = 0;

  /// Sends `aEnvelope` to the caller of `aFlow`, with the service's address as
  /// the source address.
  virtual void SendToCaller(const packet::FlowKey& aFlow,
                            const Envelope& aEnvelope) = 0;

  /// Writes one decision to the decision log.
  virtual void LogRequestDecision(const RequestDecision& aDecision) = 0;
};

} // namespace wasabiloom::request
