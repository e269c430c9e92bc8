/// Passive health checks of backend servers, based on callers' packets.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace wasabiloom::placing {

/// Time for which a server is first suspect. Each further suspicion doubles the
/// time, up to the longest, until a caller receives new data from the server.
constexpr base::Duration kFirstSuspicion = std::chrono::milliseconds(1500);
constexpr base::Duration kMaxSuspicion = std::chrono::seconds(12);

/// Time after the end of the last suspicion and the last response after which
/// the record of a server is removed.
constexpr base::Duration kHealthRecordLife = std::chrono::seconds(30);

/// Number of data retransmissions without a response in between that make a
/// server suspect.
constexpr std::uint32_t kStallsForSuspicion = 2;

/// Tracks for each backend server whether callers receive responses from it.
/// Servers are named by token; whole zones can be tracked under a key of their
/// own. Not thread safe.
class PassiveHealthCheck
{
public:
  /// Records that a caller retransmitted an opening packet that was sent to
  /// `aToken`. The server is suspect at once.
  void OnOpeningRetransmitted(std::uint32_t aToken, base::Instant aNow);

  /// Records that a caller retransmitted data on a flow to `aToken`. The server
  /// is suspect after kStallsForSuspicion of them.
  void OnDataRetransmitted(std::uint32_t aToken, base::Instant aNow);

  /// Records that a caller received new data from `aToken`. This ends the
  /// suspicion.
  void OnResponse(std::uint32_t aToken, base::Instant aNow);

  /// Whether new flows should avoid the server `aToken`.
  bool IsSuspect(std::uint32_t aToken, base::Instant aNow) const;

  /// Returns the servers that are suspect because of opening packets, in no
  /// order.
  std::vector<std::uint32_t> FailingOpenings(base::Instant aNow) const;

  /// Returns when a caller last received new data from `aToken`; the epoch if
  /// never.
  base::Instant LastResponseAt(std::uint32_t aToken) const;

  /// Removes the records of servers without a suspicion or a response in the
  /// last kHealthRecordLife.
  void Sweep(base::Instant aNow);

  std::size_t Size() const { return m_known.size(); }

private:
  struct HealthRecord
  {
    base::Instant m_until;
    base::Instant m_aliveAt;
    std::uint32_t m_stalls = 0;
    std::uint32_t m_raised = 0;
    /// Whether an opening packet was retransmitted since the last response.
    bool m_failsOpenings = false;
  };

  static void Raise(HealthRecord& aHealth, base::Instant aNow);

  std::unordered_map<std::uint32_t, HealthRecord> m_known;
};

} // namespace wasabiloom::placing
