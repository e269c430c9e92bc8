/// Doubt about backend servers, from what callers' packets show.
#pragma once

#include "wasabiloom/base/Time.h"

#include <cstdint>
#include <unordered_map>

namespace wasabiloom::placing {

/// How long the first doubt lasts; it doubles while nothing speaks for the
/// server, up to the longest.
constexpr base::Duration kFirstDoubt = std::chrono::milliseconds(1500);
constexpr base::Duration kLongestDoubt = std::chrono::seconds(12);

/// What is known of a server is forgotten so long after the last doubt and the
/// last sign of life.
constexpr base::Duration kDoubtMemory = std::chrono::seconds(30);

/// Stalled flows of one server, with none that goes on, that raise doubt.
constexpr std::uint32_t kStallsForDoubt = 2;

/// Remembers for each backend server whether callers hear from it. One thread
/// at a time.
class PassiveHealthCheck
{
public:
  /// An opening packet that went to `aToken` was sent again.
  void OnOpeningRetransmitted(std::uint32_t aToken, base::Instant aNow);

  /// A caller repeats data on a flow at `aToken`.
  void OnDataRetransmitted(std::uint32_t aToken, base::Instant aNow);

  /// A caller has received something new from `aToken`.
  void OnResponse(std::uint32_t aToken, base::Instant aNow);

  /// Whether the server is to be avoided.
  bool IsSuspect(std::uint32_t aToken, base::Instant aNow) const;

  /// When `aToken` last gave a sign of life; the epoch when never.
  base::Instant LastResponseAt(std::uint32_t aToken) const;

  /// Forgets servers that neither raised doubt nor gave a sign of life lately.
  void Sweep(base::Instant aNow);

  std::size_t Size() const { return m_known.size(); }

private:
  struct Doubt
  {
    base::Instant m_until;
    base::Instant m_aliveAt;
    std::uint32_t m_stalls = 0;
    std::uint32_t m_raised = 0;
  };

  static void Raise(Doubt& aDoubt, base::Instant aNow);

  std::unordered_map<std::uint32_t, Doubt> m_known;
};

} // namespace wasabiloom::placing
