#include "FlowTrace.h"

#include "ControlAccount.h"
#include "EventQueue.h"

#include <cstdio>

namespace wasabiloom::scenario {

void
FlowTrace::Start(std::int64_t aFlow, const steering::ShardKey& aShard)
{
  m_flow = aFlow;
  m_shard = aShard;
}

void
FlowTrace::Print(const std::string& aText, base::Instant aNow) const
{
  if (!IsStarted()) {
    return;
  }
  const std::chrono::duration<double> at = aNow - kScenarioStart;
  std::printf("trace %8.3fs %s\n", at.count(), aText.c_str());
}

void
FlowTrace::PrintMessage(const std::string& aFrom,
                        const std::string& aTo,
                        const peer::Message& aMessage,
                        base::Instant aNow) const
{
  const bool concerned = std::visit(
    [&](const auto& aBody) {
      if constexpr (requires { aBody.m_shard; }) {
        return aBody.m_shard == m_shard;
      }
      return false;
    },
    aMessage);
  if (concerned) {
    Print(aFrom + " -> " + aTo + " " + MessageName(aMessage), aNow);
  }
}

} // namespace wasabiloom::scenario
