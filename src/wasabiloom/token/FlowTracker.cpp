#include "wasabiloom/token/FlowTracker.h"

namespace wasabiloom::token {

namespace {

bool
IsActive(const FlowRecord& aRecord)
{
  return aRecord.m_awaits != Awaits::Nothing;
}

} // namespace

FlowRecord*
FlowTracker::Find(const packet::FlowKey& aFlow)
{
  const auto found = m_flows.find(aFlow);
  return found == m_flows.end() ? nullptr : &found->second;
}

FlowRecord*
FlowTracker::FindOrAdd(const packet::FlowKey& aFlow, base::Instant aNow)
{
  if (FlowRecord* known = Find(aFlow)) {
    return known;
  }
  if (m_flows.size() >= kMaxFlows) {
    return nullptr;
  }
  FlowRecord& record = m_flows[aFlow];
  record.m_lastSeenAt = aNow;
  record.m_firstSeenAt = aNow;
  return &record;
}

void
FlowTracker::Assign(FlowRecord& aRecord, std::uint32_t aToken)
{
  if (aRecord.m_token == aToken) {
    return;
  }
  Uncount(aRecord);
  aRecord.m_token = aToken;
  FlowCounts& count = m_counts[aToken];
  ++count.m_openFlows;
  count.m_activeRequests += IsActive(aRecord) ? 1 : 0;
}

void
FlowTracker::SetAwaits(FlowRecord& aRecord, Awaits aAwaits, base::Instant aNow)
{
  if (aRecord.m_awaits == aAwaits) {
    return;
  }
  FlowCounts& count = m_counts[aRecord.m_token];
  count.m_activeRequests -= IsActive(aRecord) ? 1 : 0;
  aRecord.m_awaits = aAwaits;
  aRecord.m_awaitsSince = aNow;
  count.m_activeRequests += IsActive(aRecord) ? 1 : 0;
}

void
FlowTracker::Erase(const packet::FlowKey& aFlow)
{
  const auto found = m_flows.find(aFlow);
  if (found != m_flows.end()) {
    Erase(found);
  }
}

FlowTracker::Flows::iterator
FlowTracker::Erase(Flows::iterator aFlow)
{
  Uncount(aFlow->second);
  return m_flows.erase(aFlow);
}

void
FlowTracker::Uncount(const FlowRecord& aRecord)
{
  const auto count = m_counts.find(aRecord.m_token);
  if (count == m_counts.end()) {
    return;
  }
  count->second.m_activeRequests -= IsActive(aRecord) ? 1 : 0;
  if (--count->second.m_openFlows == 0) {
    m_counts.erase(count);
  }
}

void
FlowTracker::Sweep(base::Duration aIdle, base::Instant aNow)
{
  for (auto flow = m_flows.begin(); flow != m_flows.end();) {
    FlowRecord& record = flow->second;
    if (record.m_awaits == Awaits::Handshake &&
        aNow - record.m_awaitsSince > kHandshakeTimeout) {
      SetAwaits(record, Awaits::Nothing, aNow);
    }
    const bool silent = aNow - record.m_lastSeenAt > aIdle;
    flow = silent ? Erase(flow) : std::next(flow);
  }
}

FlowCounts
FlowTracker::CountsFor(std::uint32_t aToken) const
{
  const auto count = m_counts.find(aToken);
  return count == m_counts.end() ? FlowCounts{} : count->second;
}

} // namespace wasabiloom::token
