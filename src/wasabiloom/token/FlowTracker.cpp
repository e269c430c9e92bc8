#include "wasabiloom/token/FlowTracker.h"

#include <algorithm>

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
  m_now = aNow;
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
  if (IsActive(aRecord)) {
    ++count.m_activeRequests;
    NoteActive(aToken, 1);
  }
}

void
FlowTracker::SetAwaits(FlowRecord& aRecord, Awaits aAwaits, base::Instant aNow)
{
  if (aRecord.m_awaits == aAwaits) {
    return;
  }
  FlowCounts& count = m_counts[aRecord.m_token];
  const bool wasActive = IsActive(aRecord);
  aRecord.m_awaits = aAwaits;
  aRecord.m_awaitsSince = aNow;
  if (wasActive != IsActive(aRecord)) {
    count.m_activeRequests += wasActive ? -1 : 1;
    NoteActive(aRecord.m_token, wasActive ? -1 : 1);
  }
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
  if (IsActive(aRecord)) {
    --count->second.m_activeRequests;
    NoteActive(aRecord.m_token, -1);
  }
  if (--count->second.m_openFlows == 0) {
    m_counts.erase(count);
  }
}

void
FlowTracker::Sweep(base::Duration aIdle, base::Instant aNow)
{
  m_now = aNow;
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

void
FlowTracker::RequestTime::Advance(base::Instant aNow)
{
  const base::Duration span = std::max(aNow - m_since, base::Duration::zero());
  m_requestNanoseconds +=
    static_cast<double>(m_active) * static_cast<double>(span.count());
  m_since = aNow;
}

void
FlowTracker::NoteActive(std::uint32_t aToken, std::int64_t aChange)
{
  if (!m_isAveraging) {
    return;
  }
  RequestTime& time = m_requestTimes[aToken];
  time.Advance(m_now);
  time.m_active += aChange;
}

std::vector<AverageRequests>
FlowTracker::TakeAverages(base::Instant aNow)
{
  const auto span = static_cast<double>((aNow - m_averagedFrom).count());
  if (!m_isAveraging) {
    for (const auto& [token, count] : m_counts) {
      if (count.m_activeRequests > 0) {
        m_requestTimes[token].m_active = count.m_activeRequests;
      }
    }
  }
  std::vector<AverageRequests> averages;
  for (auto& [token, time] : m_requestTimes) {
    time.Advance(aNow);
    if (m_isAveraging && span > 0 && time.m_requestNanoseconds > 0) {
      averages.push_back({ token, time.m_requestNanoseconds / span });
    }
    time.m_requestNanoseconds = 0;
  }
  std::erase_if(m_requestTimes,
                [](const auto& aOne) { return aOne.second.m_active == 0; });
  m_isAveraging = true;
  m_averagedFrom = aNow;
  m_now = aNow;
  return averages;
}

FlowCounts
FlowTracker::CountsFor(std::uint32_t aToken) const
{
  const auto count = m_counts.find(aToken);
  return count == m_counts.end() ? FlowCounts{} : count->second;
}

} // namespace wasabiloom::token
