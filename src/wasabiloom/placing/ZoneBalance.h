/// Decides how many new flows of a service go to servers of other zones.
/// Problem addressed: the callers of one zone send more load than its servers
/// can handle while another zone has head room.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/placing/SharedLoad.h"
#include "wasabiloom/placing/SteppedValue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace wasabiloom::placing {

/// Difference in demand between two zones, in multiples of a zone's capacity,
/// that is taken for random variation and moves no load.
constexpr double kLevelTolerance = 0.04;

/// Part of the missing change that one step makes, and the largest step. All
/// hosts of a zone take the same step at about the same time. With 0.3 the
/// shares swung for ten seconds on estimates that are one second old.
constexpr double kStepPart = 0.2;
constexpr double kMaxShareStep = 0.05;

/// Part of a share that is given up in each step, so that zones which are level
/// do not keep exchanging flows. Traffic between zones is expensive.
constexpr double kShareDecay = 0.01;

/// Shares below this are 0.
constexpr double kMinShare = 0.002;

/// Largest sum of shares. The rest keeps the own zone in use, so that its load
/// remains known.
constexpr double kMaxSpill = 0.9;

/// Reduction of a share in each step whose estimates are older than
/// kMaxEstimateAge.
constexpr double kExpiryStep = 0.3;

/// A zone that has servers of the service.
struct ZoneState
{
  std::string_view m_zone;
  /// Slots of its servers that can take flows.
  double m_slots = 0;
  /// Whether new flows may be sent there; false if the zone is suspect or out
  /// of service.
  bool m_isUsable = false;
  std::optional<ZoneLoad> m_load;
};

/// Shares of the new flows of one service that go to other zones. None does
/// while the own zone's load is below kWaitingLoad. A step moves a part of the
/// demand by which the own zone exceeds another one. Changes of the
/// shares that are too recent to be seen in the estimates are counted as if
/// they had already taken effect, so that late estimates cause no oscillation.
/// Not thread safe.
class ZoneBalance
{
public:
  /// Takes a step; call it every kLoadStepInterval. `aOthers` are the other
  /// zones, each at most once.
  void Step(const ZoneState& aOwn, std::span<const ZoneState> aOthers);

  /// Returns the zone that a new flow with hash `aHash` spills over to; empty
  /// if it stays in the own zone. Valid until the next step.
  std::string_view ZoneFor(std::uint64_t aHash) const;

  /// Returns the share of `aZone`.
  double ShareOf(std::string_view aZone) const;

  /// Returns the sum of all shares.
  double TotalShare() const { return m_total; }

private:
  struct Share
  {
    SteppedValue m_value;
    bool m_isListed = false;
  };

  /// Moves the share of `aOther`, whose slots are the part `aSlotPart` of all.
  static void StepShare(Share& aShare,
                        const ZoneState& aOwn,
                        const ZoneState& aOther,
                        double aSlotPart);
  void LimitTotal();

  std::map<std::string, Share, std::less<>> m_shares;
  double m_total = 0;
};

} // namespace wasabiloom::placing
