/// The one host that admits, dispatches and answers a request.
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

/// Requests of one service whose home is this host. A request that is not
/// repeatable is sent again only after a backend server refused it; silence
/// makes its outcome unknown. A few requests wait for a slot, each for half of
/// its time at most; the others are refused at once. One thread at a time.
class RequestDispatcher
{
public:
  /// `aInstance` differs for every process of every host, so that no two homes
  /// ever use the same dispatch id. `aDirectory` and `aSink` must outlive the
  /// home.
  RequestDispatcher(std::string aService,
                    std::uint32_t aInstance,
                    const steering::TargetDirectory& aDirectory,
                    RequestSink& aSink);

  /// A datagram of a caller: a request, a repeat of one, or a cancellation.
  void OnCallerDatagram(const packet::FlowKey& aFlow,
                        const Envelope& aEnvelope,
                        base::Instant aNow);

  /// Whether the request `aId` of `aFlow`'s caller is on this home's books.
  bool HasRecord(const packet::FlowKey& aFlow, const std::string& aId) const;

  /// A datagram of a backend server, matched by its dispatch id.
  void OnBackendDatagram(const Envelope& aEnvelope, base::Instant aNow);

  /// Ends requests whose deadline passed and retries silent attempts.
  void Tick(base::Instant aNow);

  /// Requests not yet finished.
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
    base::Instant m_attemptEnds;
    std::string m_dispatch;
    steering::TargetIndex m_slot = steering::kNoTargetIndex;
    std::set<steering::TargetIndex> m_refusedBy;
    std::uint32_t m_attempts = 0;
    base::Instant m_waitEnds;
    bool m_mayHaveRun = false;
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
  /// Requests without a backend server, oldest first.
  std::deque<Key> m_waiting;
  std::map<std::string, Key> m_byDispatch;
  InFlightCounts m_slots;
  RetryBudget m_budget;
  std::uint64_t m_serial = 0;
};

} // namespace wasabiloom::request
