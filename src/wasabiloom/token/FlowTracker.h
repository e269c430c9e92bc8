/// Recently active flows of this host, with counts per server.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/packet/TokenCodec.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace wasabiloom::token {

/// What a flow is waiting for from its server.
enum class Awaits : std::uint8_t
{
  Nothing,
  /// A response to the opening packet.
  Handshake,
  /// A response to a request.
  Response,
};

/// State of a flow on one host, used for load estimates, health checks,
/// retransmissions and logs. Forwarding does not depend on it: any host can
/// forward packets of an open flow that it has never seen.
struct FlowRecord
{
  std::uint32_t m_token = 0;
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledged = 0;
  /// Whether this host received the opening packet.
  bool m_sawOpening = false;
  /// Whether this host received a packet after the opening one.
  bool m_established = false;
  /// Whether a dropped packet of this flow was logged.
  bool m_dropLogged = false;
  /// What the flow is waiting for, and since when.
  Awaits m_awaits = Awaits::Nothing;
  base::Instant m_awaitsSince;
  base::Instant m_lastSeenAt;
  base::Instant m_firstSeenAt;
};

/// Number of flows at one backend server, and of those that await a handshake
/// or a response.
struct FlowCounts
{
  std::uint32_t m_openFlows = 0;
  std::uint32_t m_activeRequests = 0;

  friend auto operator<=>(const FlowCounts&, const FlowCounts&) = default;
};

/// Average number of a server's active requests over a span of time.
struct AverageRequests
{
  std::uint32_t m_token = 0;
  double m_requests = 0;

  friend auto operator<=>(const AverageRequests&,
                          const AverageRequests&) = default;
};

/// Table of at most kMaxFlows flows. Not thread safe.
class FlowTracker
{
public:
  /// Returns the record of `aFlow`, or null.
  FlowRecord* Find(const packet::FlowKey& aFlow);

  /// Returns the record of `aFlow`, and adds one if there is none; null if the
  /// table is full.
  FlowRecord* FindOrAdd(const packet::FlowKey& aFlow, base::Instant aNow);

  /// Assigns a flow to the server `aToken`.
  void Assign(FlowRecord& aRecord, std::uint32_t aToken);

  /// Sets what the flow is waiting for; a change is timed at `aNow`.
  void SetAwaits(FlowRecord& aRecord, Awaits aAwaits, base::Instant aNow);

  /// Removes a flow, if it is in the table.
  void Erase(const packet::FlowKey& aFlow);

  /// Removes flows without a packet for longer than `aIdle`. Flows that have
  /// awaited a handshake for longer than kHandshakeTimeout no longer do.
  void Sweep(base::Duration aIdle, base::Instant aNow);

  /// Returns the number of flows assigned to the server `aToken`.
  FlowCounts CountsFor(std::uint32_t aToken) const;

  /// Returns the averages of active requests since the last call, for servers
  /// that had any. The first call starts the averaging; until then it costs
  /// nothing.
  std::vector<AverageRequests> TakeAverages(base::Instant aNow);

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
  /// Records that the number of active requests at `aToken` changes by
  /// `aChange`, at the time of the latest packet or sweep.
  void NoteActive(std::uint32_t aToken, std::int64_t aChange);

  /// Active requests of a server, and their sum over time.
  struct RequestTime
  {
    std::int64_t m_active = 0;
    base::Instant m_since;
    double m_requestNanoseconds = 0;

    void Advance(base::Instant aNow);
  };

  Flows m_flows;
  std::unordered_map<std::uint32_t, FlowCounts> m_counts;
  /// Servers with active requests now or since the last call of TakeAverages;
  /// empty before the first call.
  std::unordered_map<std::uint32_t, RequestTime> m_requestTimes;
  bool m_isAveraging = false;
  base::Instant m_averagedFrom;
  base::Instant m_now;
};

/// Time after which a caller gives up an attempt to open a flow.
constexpr base::Duration kHandshakeTimeout = std::chrono::milliseconds(1400);

/// Maximum number of flows in the table of a host; bounds its memory.
constexpr std::size_t kMaxFlows = 100'000;

} // namespace wasabiloom::token
