#include "wasabiloom/request/RequestDispatcher.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace wasabiloom::request {

namespace {

using base::ResultCode;

/// Attempts after which an unanswered request is not sent again.
constexpr std::uint32_t kMaxAttempts = 4;

/// Time after its deadline for which a finished request is kept, so that a late
/// repeat gets the same answer and does not run again.
constexpr base::Duration kMemory = std::chrono::seconds(30);

/// Largest number of parts of an answer; limits the memory of one record.
constexpr std::size_t kMaxParts = 1024;

/// Requests of one service that may wait for a free slot on one host.
constexpr std::size_t kMaxWaiting = 16;

std::chrono::milliseconds
TimeLeft(base::Instant aDeadline, base::Instant aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDeadline -
                                                               aNow);
}

} // namespace

RequestDispatcher::RequestDispatcher(
  std::string aService,
  std::uint32_t aInstance,
  const steering::TargetDirectory& aDirectory,
  RequestSink& aSink)
  : m_service(std::move(aService))
  , m_instance(aInstance)
  , m_directory(aDirectory)
  , m_sink(aSink)
{
}

bool
RequestDispatcher::HasRecord(const packet::FlowKey& aFlow,
                             const std::string& aId) const
{
  return m_records.contains({ aFlow.m_caller, aId });
}

void
RequestDispatcher::OnCallerDatagram(const packet::FlowKey& aFlow,
                                    const Envelope& aEnvelope,
                                    base::Instant aNow)
{
  const Key key{ aFlow.m_caller, aEnvelope.m_id };
  const auto found = m_records.find(key);
  if (aEnvelope.m_kind == EnvelopeKind::Cancel) {
    if (found != m_records.end() && !found->second.m_finished) {
      OnCancel(found->second);
    }
    return;
  }
  if (found == m_records.end()) {
    Admit(key, aFlow, aEnvelope, aNow);
    return;
  }
  for (const Envelope& reply : found->second.m_replies) {
    m_sink.SendToCaller(aFlow, reply);
  }
}

void
RequestDispatcher::Admit(const Key& aKey,
                         const packet::FlowKey& aFlow,
                         const Envelope& aEnvelope,
                         base::Instant aNow)
{
  Record& record = m_records[aKey];
  record.m_flow = aFlow;
  record.m_request = aEnvelope;
  record.m_deadline = aNow + aEnvelope.m_timeout;
  if (aEnvelope.m_timeout.count() <= 0) {
    FinishWithCode(record, ResultCode::DeadlinePassed, "deadline_passed");
    return;
  }
  m_budget.OnRequest();
  if (m_waiting.empty()) {
    Dispatch(aKey, record, aNow);
  } else {
    WaitOrRefuse(aKey, record, aNow);
  }
}

void
RequestDispatcher::Dispatch(const Key& aKey,
                            Record& aRecord,
                            base::Instant aNow)
{
  if (!TryDispatch(aKey, aRecord, aNow)) {
    WaitOrRefuse(aKey, aRecord, aNow);
  }
}

void
RequestDispatcher::WaitOrRefuse(const Key& aKey,
                                Record& aRecord,
                                base::Instant aNow)
{
  const bool first = aRecord.m_waitEnds == base::Instant{};
  if (first) {
    aRecord.m_waitEnds = aNow + (aRecord.m_deadline - aNow) / 2;
  }
  if (m_waiting.size() < kMaxWaiting && aNow < aRecord.m_waitEnds) {
    aRecord.m_refusedBy.clear();
    m_waiting.push_back(aKey);
    return;
  }
  const bool refused = aRecord.m_attempts > 0;
  FinishWithCode(aRecord,
                 refused ? ResultCode::BackendRefused : ResultCode::NoCapacity,
                 refused ? "all_refused" : "no_free_slot");
}

/// Sends the oldest waiting request to a backend server on which a request of
/// this host has just ended: that server is the most likely to have a free
/// slot.
void
RequestDispatcher::DispatchWaitingTo(steering::TargetIndex aSlot,
                                     base::Instant aNow)
{
  if (m_waiting.empty() || !m_directory.At(aSlot).m_acceptsNewWork) {
    return;
  }
  const Key key = m_waiting.front();
  m_waiting.pop_front();
  DispatchTo(aSlot, key, m_records.at(key), aNow);
}

/// Tries to dispatch the oldest waiting request, since requests of other hosts
/// may have freed a slot. At most one request per call is sent.
void
RequestDispatcher::ProbeWithWaiting(base::Instant aNow)
{
  if (m_waiting.empty()) {
    return;
  }
  const Key key = m_waiting.front();
  if (TryDispatch(key, m_records.at(key), aNow)) {
    m_waiting.pop_front();
  }
}

void
RequestDispatcher::RefuseOverdueWaiting(base::Instant aNow)
{
  std::erase_if(m_waiting, [&](const Key& aKey) {
    Record& record = m_records.at(aKey);
    const bool overdue = aNow >= record.m_waitEnds;
    if (overdue) {
      FinishWithCode(record, ResultCode::NoCapacity, "waited_too_long");
    }
    return overdue;
  });
}

/// Sends the request to the least loaded backend server. Returns false if none
/// has a free slot.
bool
RequestDispatcher::TryDispatch(const Key& aKey,
                               Record& aRecord,
                               base::Instant aNow)
{
  const steering::TargetIndex slot = PickTarget(aRecord);
  if (slot == steering::kNoTargetIndex) {
    return false;
  }
  DispatchTo(slot, aKey, aRecord, aNow);
  return true;
}

void
RequestDispatcher::DispatchTo(steering::TargetIndex aSlot,
                              const Key& aKey,
                              Record& aRecord,
                              base::Instant aNow)
{
  aRecord.m_slot = aSlot;
  aRecord.m_dispatch = NewDispatchId();
  aRecord.m_mayHaveRun = true;
  ++aRecord.m_attempts;
  m_slots.Increment(aSlot);
  m_byDispatch[aRecord.m_dispatch] = aKey;
  const auto left = aRecord.m_deadline - aNow;
  const bool maySpare = aRecord.m_request.m_repeatable;
  aRecord.m_attemptEnds = aNow + (maySpare ? left / 2 : left);
  Envelope outgoing = aRecord.m_request;
  outgoing.m_id = aRecord.m_dispatch;
  outgoing.m_service = m_service;
  outgoing.m_timeout = TimeLeft(aRecord.m_deadline, aNow);
  m_sink.SendToBackend(m_directory.At(aSlot).m_endpoint, outgoing);
  Log(aRecord, "dispatched", ResultCode::Ok);
}

steering::TargetIndex
RequestDispatcher::PickTarget(const Record& aRecord) const
{
  const std::uint64_t seed = base::HashText(aRecord.m_request.m_id);
  return m_slots.PickLeastLoaded(m_directory, aRecord.m_refusedBy, seed);
}

std::string
RequestDispatcher::NewDispatchId()
{
  ++m_serial;
  const std::uint64_t service = steering::MakeServiceId(m_service).m_value;
  const std::array<std::uint64_t, 2> words = {
    service | (std::uint64_t{ m_instance } << 32), m_serial
  };
  std::string id(kRequestIdBytes, '\0');
  std::memcpy(id.data(), words.data(), kRequestIdBytes);
  return id;
}

void
RequestDispatcher::OnBackendDatagram(const Envelope& aEnvelope,
                                     base::Instant aNow)
{
  const auto found = m_byDispatch.find(aEnvelope.m_id);
  if (found == m_byDispatch.end()) {
    return;
  }
  const Key key = found->second;
  Record& record = m_records.at(key);
  if (aEnvelope.m_kind == EnvelopeKind::Answer) {
    OnAnswer(record, aEnvelope, aNow);
  } else if (aEnvelope.m_kind == EnvelopeKind::Refusal) {
    OnRefusal(key, record, aNow);
  }
}

void
RequestDispatcher::OnAnswer(Record& aRecord,
                            const Envelope& aEnvelope,
                            base::Instant aNow)
{
  const bool plausible = aEnvelope.m_partCount > 0 &&
                         aEnvelope.m_partCount <= kMaxParts &&
                         aEnvelope.m_partIndex < aEnvelope.m_partCount;
  const bool repeated =
    std::ranges::any_of(aRecord.m_replies, [&](const Envelope& aReply) {
      return aReply.m_partIndex == aEnvelope.m_partIndex;
    });
  if (!plausible || repeated) {
    return;
  }
  Reply(aRecord, aEnvelope);
  if (aRecord.m_replies.size() == aEnvelope.m_partCount) {
    Log(aRecord, "answered", ResultCode::Ok);
    const steering::TargetIndex freed = aRecord.m_slot;
    Finish(aRecord);
    DispatchWaitingTo(freed, aNow);
  }
}

void
RequestDispatcher::OnRefusal(const Key& aKey,
                             Record& aRecord,
                             base::Instant aNow)
{
  if (!aRecord.m_replies.empty()) {
    return;
  }
  aRecord.m_refusedBy.insert(aRecord.m_slot);
  aRecord.m_mayHaveRun = false;
  ReleaseAttempt(aRecord);
  if (m_budget.TryTakeRetry()) {
    Dispatch(aKey, aRecord, aNow);
  } else {
    WaitOrRefuse(aKey, aRecord, aNow);
  }
}

void
RequestDispatcher::OnCancel(Record& aRecord)
{
  if (aRecord.m_dispatch.empty()) {
    FinishWithCode(aRecord, ResultCode::Cancelled, "cancelled");
    std::erase_if(m_waiting, [&](const Key& aKey) {
      return m_records.at(aKey).m_finished;
    });
    return;
  }
  SendCancelToBackend(aRecord);
  Log(aRecord, "cancelled", ResultCode::Cancelled);
}

void
RequestDispatcher::SendCancelToBackend(const Record& aRecord)
{
  Envelope cancel;
  cancel.m_kind = EnvelopeKind::Cancel;
  cancel.m_id = aRecord.m_dispatch;
  cancel.m_service = m_service;
  m_sink.SendToBackend(m_directory.At(aRecord.m_slot).m_endpoint, cancel);
}

void
RequestDispatcher::Tick(base::Instant aNow)
{
  std::vector<Key> silent;
  for (const auto& [dispatch, key] : m_byDispatch) {
    const Record& record = m_records.at(key);
    if (aNow >= record.m_attemptEnds || aNow >= record.m_deadline) {
      silent.push_back(key);
    }
  }
  for (const Key& key : silent) {
    OnSilence(key, m_records.at(key), aNow);
  }
  std::erase_if(m_waiting,
                [&](const Key& aKey) { return m_records.at(aKey).m_finished; });
  RefuseOverdueWaiting(aNow);
  ProbeWithWaiting(aNow);
  std::erase_if(m_records, [&](const auto& aItem) {
    const Record& record = aItem.second;
    return record.m_finished && aNow - record.m_deadline > kMemory;
  });
}

void
RequestDispatcher::OnSilence(const Key& aKey,
                             Record& aRecord,
                             base::Instant aNow)
{
  const bool mayRetry =
    aRecord.m_request.m_repeatable && aRecord.m_replies.empty() &&
    aNow < aRecord.m_deadline && aRecord.m_attempts < kMaxAttempts;
  if (mayRetry && m_budget.TryTakeRetry()) {
    const steering::TargetIndex silentOne = aRecord.m_slot;
    aRecord.m_refusedBy.insert(silentOne);
    if (PickTarget(aRecord) != steering::kNoTargetIndex) {
      SendCancelToBackend(aRecord);
      ReleaseAttempt(aRecord);
      aRecord.m_mayHaveRunEarlier = true;
      Dispatch(aKey, aRecord, aNow);
      return;
    }
  }
  if (aNow < aRecord.m_deadline) {
    aRecord.m_attemptEnds = aRecord.m_deadline;
    return;
  }
  SendCancelToBackend(aRecord);
  FinishWithCode(aRecord, ResultCode::OutcomeUnknown, "silence");
}

void
RequestDispatcher::FinishWithCode(Record& aRecord,
                                  ResultCode aCode,
                                  std::string_view aReason)
{
  const bool unknown = aRecord.m_mayHaveRun || aRecord.m_mayHaveRunEarlier ||
                       aCode == ResultCode::OutcomeUnknown;
  Envelope envelope;
  envelope.m_kind =
    unknown ? EnvelopeKind::UnknownOutcome : EnvelopeKind::Refusal;
  envelope.m_code = unknown ? ResultCode::OutcomeUnknown : aCode;
  Log(aRecord, aReason, envelope.m_code);
  Reply(aRecord, envelope);
  Finish(aRecord);
}

void
RequestDispatcher::Finish(Record& aRecord)
{
  ReleaseAttempt(aRecord);
  aRecord.m_finished = true;
  aRecord.m_request.m_body.clear();
}

void
RequestDispatcher::ReleaseAttempt(Record& aRecord)
{
  if (aRecord.m_dispatch.empty()) {
    return;
  }
  m_byDispatch.erase(aRecord.m_dispatch);
  aRecord.m_dispatch.clear();
  m_slots.Decrement(aRecord.m_slot);
}

void
RequestDispatcher::Reply(Record& aRecord, Envelope aEnvelope)
{
  aEnvelope.m_id = aRecord.m_request.m_id;
  aEnvelope.m_service = m_service;
  m_sink.SendToCaller(aRecord.m_flow, aEnvelope);
  aRecord.m_replies.push_back(std::move(aEnvelope));
}

void
RequestDispatcher::Log(const Record& aRecord,
                       std::string_view aReason,
                       ResultCode aCode)
{
  RequestDecision decision;
  decision.m_service = m_service;
  decision.m_id = aRecord.m_request.m_id;
  if (aRecord.m_slot != steering::kNoTargetIndex) {
    decision.m_target = m_directory.At(aRecord.m_slot).m_name;
  }
  decision.m_reason = aReason;
  decision.m_code = aCode;
  m_sink.LogRequestDecision(decision);
}

} // namespace wasabiloom::request
