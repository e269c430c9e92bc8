/// Admits, dispatches and answers the requests that this host owns. Exactly one
/// host owns a request.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/request/InFlightCounts.h"
#include "wasabiloom/request/RequestSink.h"
#include "wasabiloom/request/RetryBudget.h"
#include "wasabiloom/steering/TargetDirectory.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wasabiloom::request {

/// Dispatches the requests of one service that this host owns. A non-repeatable
/// request is sent again only after a backend server refused it; if the backend
/// server does not answer in time, the outcome is unknown. A limited number of
/// requests wait for a free slot, each for at most half of the time until its
/// deadline; further requests are refused at once. Not thread safe: at most one
/// thread at a time.
class RequestDispatcher
{
public:
  /// Preconditions: `aInstance` differs for every process of every host, so
  /// that no two dispatchers ever use the same dispatch id. `aDirectory` and
  /// `aSink` outlive this object.
  RequestDispatcher(std::string aService,
                    std::uint32_t aInstance,
                    const steering::TargetDirectory& aDirectory,
                    RequestSink& aSink);

  /// Handles a datagram of a caller: a request, a repeated request or a
  /// cancellation.
  void OnCallerDatagram(const packet::FlowKey& aFlow,
                        const Envelope& aEnvelope,
                        base::Instant aNow);

  /// Returns whether this object has a record of the request `aId` of the
  /// caller of `aFlow`, in progress or finished.
  bool HasRecord(const packet::FlowKey& aFlow, const std::string& aId) const;

  /// Handles a datagram of a backend server. Datagrams whose dispatch id
  /// belongs to no current attempt are ignored.
  void OnBackendDatagram(const Envelope& aEnvelope, base::Instant aNow);

  /// Finishes requests whose deadline or waiting time has passed, retries
  /// unanswered attempts and removes old records. To be called periodically.
  void Tick(base::Instant aNow);

  /// Returns the number of requests that are not finished.
  std::size_t InProgressCount() const
  {
    return m_byDispatch.size() + m_waiting.size();
  }

private:
  struct Key
  {
    base::Endpoint m_caller;
    std::string m_id;

    friend auto operator<=>(const Key&, const Key&) = default;
  };

  struct Record
  {
    packet::FlowKey m_flow;
    Envelope m_request;
    base::Instant m_deadline;
    /// Time at which the current attempt counts as unanswered.
    base::Instant m_attemptEnds;
    /// Dispatch id of the current attempt; empty without one.
    std::string m_dispatch;
    steering::TargetIndex m_slot = steering::kNoTargetIndex;
    /// Backend servers that refused the request or did not answer in time,
    /// since the request last waited.
    std::set<steering::TargetIndex> m_refusedBy;
    std::uint32_t m_attempts = 0;
    base::Instant m_waitEnds;
    /// Whether the current attempt may have run: it was sent and not refused.
    bool m_mayHaveRun = false;
    /// Whether an earlier attempt was given up unanswered and may have run.
    bool m_mayHaveRunEarlier = false;
    bool m_finished = false;
    std::vector<Envelope> m_replies;
  };

  using Records = std::map<Key, Record>;

  void Admit(const Key& aKey,
             const packet::FlowKey& aFlow,
             const Envelope& aEnvelope,
             base::Instant aNow);
  bool TryDispatch(const Key& aKey, Record& aRecord, base::Instant aNow);
  void DispatchTo(steering::TargetIndex aSlot,
                  const Key& aKey,
                  Record& aRecord,
                  base::Instant aNow);
  void Dispatch(const Key& aKey, Record& aRecord, base::Instant aNow);
  void OnAnswer(Record& aRecord, const Envelope& aEnvelope, base::Instant aNow);
  void OnRefusal(const Key& aKey, Record& aRecord, base::Instant aNow);
  void OnCancel(Record& aRecord);
  void WaitOrRefuse(const Key& aKey, Record& aRecord, base::Instant aNow);
  void DispatchWaitingTo(steering::TargetIndex aSlot, base::Instant aNow);
  void ProbeWithWaiting(base::Instant aNow);
  void RefuseOverdueWaiting(base::Instant aNow);
  void OnSilence(const Key& aKey, Record& aRecord, base::Instant aNow);
  void FinishWithCode(Record& aRecord,
                      base::ResultCode aCode,
                      std::string_view aReason);
  void Finish(Record& aRecord);
  void ReleaseAttempt(Record& aRecord);
  void SendCancelToBackend(const Record& aRecord);
  steering::TargetIndex PickTarget(const Record& aRecord) const;
  std::string NewDispatchId();
  void Reply(Record& aRecord, Envelope aEnvelope);
  void Log(const Record& aRecord,
           std::string_view aReason,
           base::ResultCode aCode);

  std::string m_service;
  std::uint32_t m_instance;
  const steering::TargetDirectory& m_directory;
  RequestSink& m_sink;
  Records m_records;
  /// Requests that wait for a free slot, oldest first.
  std::deque<Key> m_waiting;
  std::map<std::string, Key> m_byDispatch;
  InFlightCounts m_slots;
  RetryBudget m_budget;
  std::uint64_t m_serial = 0;
};

} // namespace wasabiloom::request
