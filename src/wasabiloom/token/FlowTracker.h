/// Flows that passed this host lately, and how many each server holds.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/packet/TokenCodec.h"

#include <cstdint>
#include <unordered_map>

namespace wasabiloom::token {

/// What one host remembers of a flow. Nothing depends on it but estimates and
/// logs: any host forwards a flow that it has never seen.
struct FlowRecord
{
  std::uint32_t m_token = 0;
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledged = 0;
  /// Whether this host saw the opening packet.
  bool m_sawOpening = false;
  /// Whether a packet after the opening one was seen.
  bool m_established = false;
  /// Whether the first packet that could not be delivered was reported.
  bool m_dropLogged = false;
  /// Whether a request is under way, and since when.
  bool m_requestPending = false;
  base::Instant m_requestAt;
  base::Instant m_lastSeenAt;
  base::Instant m_firstSeenAt;
};

/// Flows at one backend server.
struct FlowCounts
{
  std::uint32_t m_openFlows = 0;
  std::uint32_t m_activeRequests = 0;

  friend auto operator<=>(const FlowCounts&, const FlowCounts&) = default;
};

/// Bounded memory of flows. One thread at a time.
class FlowTracker
{
public:
  /// Record of `aFlow`, or null.
  FlowRecord* Find(const packet::FlowKey& aFlow);

  /// Record of `aFlow`, made at `aNow` when it is new; null when the memory is
  /// full.
  FlowRecord* FindOrAdd(const packet::FlowKey& aFlow, base::Instant aNow);

  /// Moves a flow to the server that `aToken` names.
  void Assign(FlowRecord& aRecord, std::uint32_t aToken);

  /// Says whether a request of the flow is under way since `aNow`.
  void SetRequestPending(FlowRecord& aRecord, bool aBusy, base::Instant aNow);

  /// Forgets a flow.
  void Erase(const packet::FlowKey& aFlow);

  /// Forgets flows that were silent for longer than `aIdle`.
  void Sweep(base::Duration aIdle, base::Instant aNow);

  /// Flows remembered at the server that `aToken` names.
  FlowCounts CountsFor(std::uint32_t aToken) const;

  std::size_t Size() const { return m_flows.size(); }

private:
  struct FlowHash
  {
    std::size_t operator()(const packet::FlowKey& aFlow) const
    {
      return packet::HashFlow(aFlow);
    }
  };

  using Flows = std::unordered_map<packet::FlowKey, FlowRecord, FlowHash>;

  Flows::iterator Erase(Flows::iterator aFlow);
  void Uncount(const FlowRecord& aRecord);

  Flows m_flows;
  std::unordered_map<std::uint32_t, FlowCounts> m_counts;
};

/// Most flows that one host remembers.
constexpr std::size_t kMaxFlows = 100'000;

} // namespace wasabiloom::token
