/// Where a request home sends what it decides.
#pragma once

#include "wasabiloom/packet/IpPacket.h"
#include "wasabiloom/request/Envelope.h"

#include <string>
#include <string_view>

namespace wasabiloom::request {

/// One decision about a request, for the decision log.
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

/// Accepts datagrams and decisions. One thread at a time.
class RequestSink
{
public:
  virtual ~RequestSink();

  /// Sends `aEnvelope` to a backend server.
  virtual void SendToBackend(const base::Endpoint& aTo,
                             const Envelope& aEnvelope) = 0;

  /// Sends `aEnvelope` to the caller of `aFlow`, from the service's address.
  virtual void SendToCaller(const packet::FlowKey& aFlow,
                            const Envelope& aEnvelope) = 0;

  /// Records one decision.
  virtual void LogRequestDecision(const RequestDecision& aDecision) = 0;
};

} // namespace wasabiloom::request
