/// What the core asks its driver to do.
#pragma once

#include "wasabiloom/peer/Messages.h"
#include "wasabiloom/request/RequestSink.h"
#include "wasabiloom/steering/SteerResult.h"

#include <string>
#include <string_view>

namespace wasabiloom::core {

/// One placement of a flow, for the decision log.
struct FlowDecision
{
  packet::FlowKey m_flow;
  std::string_view m_service;
  std::string_view m_target;
  steering::SteerReason m_reason = steering::SteerReason::TableDefault;
  bool m_opens = false;
  bool m_relayed = false;

  friend auto operator<=>(const FlowDecision&, const FlowDecision&) = default;
};

/// Something that changed on this host, for the log.
struct HostEvent
{
  std::string_view m_what;
  base::ResultCode m_code = base::ResultCode::Ok;
  std::string m_detail;

  friend auto operator<=>(const HostEvent&, const HostEvent&) = default;
};

/// Implemented by whoever drives the core: the daemon, or a test. Called only
/// from inside the core's input methods, on the driver's thread; must not call
/// back into the core.
class Effects : public request::RequestSink
{
public:
  ~Effects() override;

  /// Sends a message to a peer's control endpoint; may be lost.
  virtual void SendPeer(const base::Endpoint& aTo,
                        const peer::Datagram& aDatagram) = 0;

  /// Asks the status endpoint of a backend server; the answer, if any, goes
  /// to HostCore::OnReport.
  virtual void ProbeTarget(const steering::ServiceId& aService,
                           const steering::TargetId& aTarget,
                           const base::Endpoint& aStatus) = 0;

  /// Records the placement of a flow.
  virtual void LogFlow(const FlowDecision& aDecision) = 0;

  /// Records an event.
  virtual void LogEvent(const HostEvent& aEvent) = 0;
};

} // namespace wasabiloom::core
