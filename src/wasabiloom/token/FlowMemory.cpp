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
  Uncount(aRecord);
  aRecord.m_token = aToken;
  ServerFlows& count = m_counts[aToken];
  ++count.m_open;
  count.m_busy += aRecord.m_busy ? 1 : 0;
}

void
FlowMemory::SetBusy(FlowRecord& aRecord, bool aBusy, base::Instant aNow)
{
  if (aRecord.m_busy == aBusy) {
    return;
  }
  aRecord.m_busy = aBusy;
  aRecord.m_requestAt = aNow;
  ServerFlows& count = m_counts[aRecord.m_token];
  count.m_busy += aBusy ? 1U : -1U;
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
  Uncount(aFlow->second);
  return m_flows.erase(aFlow);
}

void
FlowMemory::Uncount(const FlowRecord& aRecord)
{
  const auto count = m_counts.find(aRecord.m_token);
  if (count == m_counts.end()) {
    return;
  }
  count->second.m_busy -= aRecord.m_busy ? 1 : 0;
  if (--count->second.m_open == 0) {
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

ServerFlows
FlowMemory::CountAt(std::uint32_t aToken) const
{
  const auto count = m_counts.find(aToken);
  return count == m_counts.end() ? ServerFlows{} : count->second;
}

} // namespace wasabiloom::token
