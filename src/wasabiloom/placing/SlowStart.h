/// Share of new flows that servers get after a start, a return or a failure.
///
/// Load problem addressed: a server that has just started, returned or
/// recovered is flooded at once, and one that fails repeatedly is tried each
/// time as if for the first time.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Time.h"
#include "wasabiloom/placing/SharedLoad.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wasabiloom::placing {

/// Share of a normal server's new flows with which a ramp begins. Each recent
/// failure of the same address halves it, up to kMaxFailures times.
constexpr double kFirstShare = 0.1;
constexpr std::uint32_t kMaxFailures = 4;

/// Share during the pause before a ramp. It is positive so that flows can be
/// placed in proportion to the shares when all servers pause.
constexpr double kPausedShare = 0.001;

/// Pause before the ramp of a server that failed once before. Each further
/// failure doubles it.
constexpr base::Duration kFirstPause = std::chrono::seconds(1);

/// Growth of the share by a response in normal time: a server that answers ten
/// requests normally is not likely to be one that answers none.
constexpr double kGrowthPerResponse = 0.1;

/// The share at most doubles in this time, however many responses arrive: the
/// effect of more load shows only after the requests that it adds.
constexpr base::Duration kDoublingTime = std::chrono::milliseconds(400);

/// The share doubles at this interval on a host that places no flow on the
/// server and hears of no response, so that the server is not left idle.
constexpr base::Duration kQuietDoublingTime = std::chrono::seconds(2);

/// A response that takes longer than this multiple of the average of the
/// service's other servers is slow. Variation of the work of requests alone
/// rarely doubles the time.
constexpr double kSlowMultiple = 2;

/// Factor of the share after a slow response.
constexpr double kSlowFactor = 0.8;

/// Time without any response after a new flow was placed that halves the share.
constexpr base::Duration kMissingAfter = std::chrono::milliseconds(1000);

/// A suspicion that ends with a response within this time of the response
/// before it was due to a lost packet and is no failure.
constexpr base::Duration kBriefSilence = std::chrono::seconds(1);

/// Failures that were followed by good service for this long no longer count.
constexpr base::Duration kForgivenAfter = std::chrono::seconds(60);

/// Maximum number of ramp events that are kept until they are taken.
constexpr std::size_t kMaxRampEvents = 64;

/// Why the ramp of a server began.
enum class RampCause : std::uint8_t
{
  /// The start of the server is new to this host.
  Started,
  /// The server is warm after it was cold.
  Warm,
  /// The same start of the server can be used again after a lapse.
  Returned,
  /// The server was heard after it was suspect.
  HeardAgain,
};

/// Returns the name of `aCause` in logs. Thread safe.
std::string_view
ToString(RampCause aCause);

/// Progress of a ramp, for the log.
enum class RampStage : std::uint8_t
{
  Began,
  Full,
  Failed,
};

/// Returns the name of the event `aStage` in logs. Thread safe.
std::string_view
ToString(RampStage aStage);

/// A change in the ramp of one server.
struct RampEvent
{
  std::uint32_t m_token = 0;
  RampStage m_stage = RampStage::Began;
  RampCause m_cause = RampCause::Started;
  /// Earlier failures that were counted when the ramp began.
  std::uint32_t m_failures = 0;
  double m_share = 1;
  /// Time since the ramp began.
  base::Duration m_after{ 0 };

  friend auto operator<=>(const RampEvent&, const RampEvent&) = default;
};

/// What a host knows of a server at the time of a decision.
struct ServerSighting
{
  std::uint32_t m_token = 0;
  base::Endpoint m_address;
  /// When the server's entry was listed, and when it was last cold; the latter
  /// is in the future while it is cold.
  base::Instant m_listedSince;
  base::Instant m_coldUntil;
  /// When this host last received new data from the server; the epoch if never.
  base::Instant m_heardAt;
};

/// Counters since the start of the process.
struct RampTotals
{
  std::uint64_t m_began = 0;
  std::uint64_t m_full = 0;
  std::uint64_t m_failed = 0;

  friend auto operator<=>(const RampTotals&, const RampTotals&) = default;
};

/// Share of new flows of each server, from 0 to 1. Servers that this host knew
/// when it became ready have the full share. Each call takes constant time.
/// Deterministic: equal inputs give equal outputs. Not thread safe.
class SlowStart
{
public:
  /// Sets when this host first knew the registry. Without it, no server counts
  /// as started or returned.
  void SetKnownSince(base::Instant aNow) { m_knownSince = aNow; }

  /// Returns the share of the server and advances its ramp. `aObserved`: what
  /// other hosts report; each response in it counts at most once.
  double ShareOf(const ServerSighting& aServer,
                 const std::optional<ServerObservation>& aObserved,
                 base::Instant aNow);

  /// Records that the server became suspect.
  void OnSuspected(const ServerSighting& aServer, base::Instant aNow);

  /// Records that a new flow was placed on the server.
  void OnPlaced(std::uint32_t aToken, base::Instant aNow);

  /// Records that the server sent something new.
  void OnHeard(std::uint32_t aToken);

  /// Records a response of the server, of the service with the hash `aService`,
  /// to a request after `aSpan`.
  void OnResponse(std::uint32_t aToken,
                  std::uint64_t aService,
                  base::Duration aSpan,
                  base::Instant aNow);

  /// Removes what no longer has an effect. Call it about once a second.
  void Sweep(base::Instant aNow);

  /// Returns the events since the last call.
  std::vector<RampEvent> TakeEvents();

  const RampTotals& Totals() const { return m_totals; }

  /// Number of servers with less than the full share.
  std::size_t RampingCount() const;

  /// Number of servers and addresses in memory.
  std::size_t Size() const { return m_ramps.size() + m_failures.size(); }

private:
  struct Ramp
  {
    base::Endpoint m_address;
    RampCause m_cause = RampCause::Started;
    /// Start of the usable time that this record accounts for.
    base::Instant m_usableSince;
    base::Instant m_beganAt;
    base::Instant m_pausedUntil;
    double m_share = 1;
    double m_first = kFirstShare;
    /// Upper limit of the share, and since when it is in force.
    double m_limit = 1;
    base::Instant m_limitSince;
    /// When a flow was placed without a response since; the epoch if none.
    base::Instant m_placedAt;
    /// When the server became suspect; the epoch if it is not, and when it had
    /// been heard before.
    base::Instant m_suspectSince;
    base::Instant m_heardBefore;
    std::uint32_t m_failures = 0;
    /// Responses of the latest observation, which have been counted.
    std::uint32_t m_counted = 0;
    std::uint64_t m_service = 0;

    bool IsFull() const { return m_share >= 1; }
  };

  struct Failures
  {
    std::uint32_t m_count = 0;
    base::Instant m_at;
  };

  static std::uint64_t KeyOf(const base::Endpoint& aAddress);
  double FirstShareOf(const base::Endpoint& aAddress, base::Instant aNow) const;
  bool IsNewlyUsable(const ServerSighting& aServer,
                     const Ramp* aRamp,
                     base::Instant aNow) const;
  void Begin(const ServerSighting& aServer,
             RampCause aCause,
             base::Instant aNow);
  void EndSuspicion(const ServerSighting& aServer,
                    Ramp& aRamp,
                    base::Instant aNow);
  /// Whether other hosts heard the server since it became suspect here.
  static bool WasHeardElsewhere(
    Ramp& aRamp,
    const std::optional<ServerObservation>& aObserved);
  void Advance(std::uint32_t aToken,
               Ramp& aRamp,
               const std::optional<ServerObservation>& aObserved,
               base::Instant aNow);
  void Count(std::uint32_t aToken,
             Ramp& aRamp,
             std::uint32_t aResponses,
             base::Duration aSpan,
             base::Instant aNow);
  void Finish(std::uint32_t aToken, Ramp& aRamp, base::Instant aNow);
  bool IsSlow(std::uint64_t aService, base::Duration aSpan) const;
  void Report(std::uint32_t aToken,
              RampStage aStage,
              const Ramp& aRamp,
              base::Instant aNow);

  base::Instant m_knownSince = base::Instant::max();
  std::unordered_map<std::uint32_t, Ramp> m_ramps;
  /// Recent failures by address, so that they count under a new id or start.
  std::unordered_map<std::uint64_t, Failures> m_failures;
  /// Average response time in nanoseconds of servers with the full share, by
  /// the hash of the service.
  std::unordered_map<std::uint64_t, double> m_normal;
  std::vector<RampEvent> m_events;
  RampTotals m_totals;
};

} // namespace wasabiloom::placing
