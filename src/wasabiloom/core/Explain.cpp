#include "wasabiloom/core/Explain.h"

namespace wasabiloom::core {

Explanation
ExplainFlow(ServiceRuntime& aService,
            const peer::Membership& aMembership,
            const packet::FlowKey& aFlow)
{
  const std::uint64_t hash = packet::HashFlow(aFlow);
  const steering::FlowId flow = steering::FlowIdOf(hash);
  const std::uint8_t shard = steering::ShardOf(hash);
  const steering::SteerResult result =
    aService.Shard(shard).Explain({ flow, false, base::HostId{} });
  Explanation explanation;
  explanation.m_service = aService.Service().m_name;
  explanation.m_reason = steering::ToString(result.m_reason);
  explanation.m_steps = {
    "service " + explanation.m_service + " owns " +
      ToString(aFlow.m_service.m_endpoint),
    "flow hash selects shard " + std::to_string(shard) + ", row " +
      std::to_string(flow.m_row),
    "rule " + explanation.m_reason + " decides",
  };
  if (result.m_action == steering::SteerAction::Forward) {
    const auto& target = aService.Directory().At(result.m_targetIndex);
    explanation.m_target = target.m_name;
    explanation.m_targetAddress = ToString(target.m_endpoint);
  }
  if (result.m_action == steering::SteerAction::Relay) {
    const peer::PeerAddress* peer = aMembership.Find(result.m_relayTo);
    explanation.m_steps.push_back("relayed to host " +
                                  (peer == nullptr ? "?" : peer->m_name));
  }
  return explanation;
}

} // namespace wasabiloom::core
