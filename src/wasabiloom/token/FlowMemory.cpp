#include "wasabiloom/token/FlowMemory.h"

namespace wasabiloom::token {

FlowRecord*
FlowMemory::Find(const packet::FlowKey& aFlow)
{
  const auto found = m_flows.find(aFlow);
  return found == m_flows.end() ? nullptr : &found->second;
}

FlowRecord*
FlowMemory::FindOrAdd(const packet::FlowKey& aFlow, base::Instant aNow)
{
  if (FlowRecord* known = Find(aFlow)) {
    return known;
  }
  if (m_flows.size() >= kMaxFlows) {
    return nullptr;
  }
  FlowRecord& record = m_flows[aFlow];
  record.m_seenAt = aNow;
  record.m_firstSeenAt = aNow;
  return &record;
}

void
FlowMemory::Assign(FlowRecord& aRecord, std::uint32_t aToken)
{
  if (aRecord.m_token == aToken) {
    return;
  }
  Uncount(aRecord.m_token);
  aRecord.m_token = aToken;
  ++m_counts[aToken];
}

void
FlowMemory::Erase(const packet::FlowKey& aFlow)
{
  const auto found = m_flows.find(aFlow);
  if (found != m_flows.end()) {
    Erase(found);
  }
}

FlowMemory::Flows::iterator
FlowMemory::Erase(Flows::iterator aFlow)
{
  Uncount(aFlow->second.m_token);
  return m_flows.erase(aFlow);
}

void
FlowMemory::Uncount(std::uint32_t aToken)
{
  const auto count = m_counts.find(aToken);
  if (count != m_counts.end() && --count->second == 0) {
    m_counts.erase(count);
  }
}

void
FlowMemory::Sweep(base::Duration aIdle, base::Instant aNow)
{
  for (auto flow = m_flows.begin(); flow != m_flows.end();) {
    const bool silent = aNow - flow->second.m_seenAt > aIdle;
    flow = silent ? Erase(flow) : std::next(flow);
  }
}

std::uint32_t
FlowMemory::CountAt(std::uint32_t aToken) const
{
  const auto count = m_counts.find(aToken);
  return count == m_counts.end() ? 0 : count->second;
}

} // namespace wasabiloom::token
