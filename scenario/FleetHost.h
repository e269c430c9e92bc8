/// One host of a Fleet; part of its implementation.
#pragma once

#include "ControlAccount.h"
#include "Fleet.h"

#include <deque>

namespace wasabiloom::scenario {

/// One entry host: its process, its inbox and its accounts.
class Fleet::Host final : public core::Effects
{
public:
  Host(Fleet& aFleet, int aIndex)
    : m_fleet(aFleet)
    , m_index(aIndex)
  {
  }

  void SendToBackend(const base::Endpoint& aTo,
                     const request::Envelope& aEnvelope) override
  {
    m_fleet.m_listener->OnBackendDatagram(aTo, aEnvelope, m_index);
  }
  void SendToCaller(const packet::FlowKey& aFlow,
                    const request::Envelope& aEnvelope) override
  {
    m_fleet.m_listener->OnCallerDatagram(aFlow, aEnvelope);
  }
  void LogRequestDecision(
    const request::RequestDecision& /*aDecision*/) override
  {
  }
  void SendPeer(const base::Endpoint& aTo,
                const peer::Datagram& aDatagram) override
  {
    m_fleet.SendPeer(m_index, aTo, aDatagram);
  }
  void ProbeTarget(const steering::ServiceId& aService,
                   const steering::TargetId& aTarget,
                   const base::Endpoint& aStatus) override
  {
    m_fleet.m_listener->OnProbe(aService, aTarget, aStatus, m_index);
  }
  void LogFlow(const core::FlowDecision& /*aDecision*/) override {}
  void LogEvent(const core::HostEvent& aEvent) override
  {
    if (m_fleet.m_trace.IsStarted()) {
      m_fleet.m_trace.Print(HostName(m_index) + " " +
                              std::string(aEvent.m_what) + " " +
                              aEvent.m_detail,
                            m_fleet.m_queue.Now());
    }
  }

  Fleet& m_fleet;
  int m_index;
  std::unique_ptr<HostUnderTest> m_process;
  std::uint64_t m_life = 0;
  bool m_paused = false;
  bool m_leaving = false;
  base::Duration m_lag{ 0 };
  std::deque<EventQueue::Action> m_inbox;
  ControlAccount m_account;
};

} // namespace wasabiloom::scenario
