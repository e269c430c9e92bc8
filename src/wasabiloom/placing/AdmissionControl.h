/// Decides which new flows of a service are refused. Problem addressed: the
/// servers of a service are full in every zone that can be reached, and urgent
/// requests are lost or late while less urgent ones are served.
#pragma once

#include "wasabiloom/placing/SharedLoad.h"
#include "wasabiloom/placing/SteppedValue.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace wasabiloom::placing {

/// Class of requests; the smaller one is more urgent.
struct FlowClass
{
  /// Route::m_priority.
  std::uint32_t m_priority = 0;
  bool m_isIdempotent = false;

  friend auto operator<=>(const FlowClass&, const FlowClass&) = default;
};

/// What a new flow may claim when servers are full.
enum class Urgency : std::uint8_t
{
  /// Servers are not full: all flows are placed alike.
  Equal,
  /// The flow is of the most urgent class and prefers reserved servers.
  Urgent,
  /// The flow is of another class and avoids reserved servers.
  Ordinary,
};

/// Demand, in multiples of the capacity, above which refusals begin, after
/// kStepsToBegin steps.
constexpr double kDemandToBegin = 1.12;
constexpr std::uint32_t kStepsToBegin = 3;

/// Demand above which more is refused and below which less is. In between the
/// level only falls slowly. The capacity is used whole only if the admitted
/// demand is a little above it, as the slots of some servers are idle for
/// moments.
constexpr double kDemandToRefuseMore = 1.08;
constexpr double kDemandToRefuseLess = 1.03;

/// Part of the missing change that one step makes, the largest steps up and
/// down, and the step down between the two bounds above. Refused callers and
/// their retries return while the level falls, so it falls more slowly.
constexpr double kAdmissionStepPart = 0.2;
constexpr double kMaxStepUp = 0.1;
constexpr double kMaxStepDown = 0.04;
constexpr double kIdleStepDown = 0.004;

/// Step down, as a part of the highest level, without a recent estimate.
constexpr double kAdmissionExpiryStep = 0.4;

/// Part of the flows of each class that is admitted at any level.
constexpr double kFloorShare = 0.05;

/// Attempts that callers make for a request. A request is lost only if all of
/// them are refused.
constexpr double kCallerAttempts = 3;

/// Levels below this are 0 when the level falls.
constexpr double kMinLevel = 0.01;

/// Part of an earlier step's flows that counts in the present one.
constexpr double kFlowCountDecay = 0.99;

/// Refuses new flows of one service by a level that rises with the load of all
/// zones that can be reached. The level is the part of the requests of the
/// least urgent class that is meant to be lost. Above level 1 requests of the
/// next class are lost too, and so on. Of each class, kFloorShare of the flows
/// is admitted at any level; of the most urgent one, all are. Not thread safe.
class AdmissionControl
{
public:
  /// Takes a step; call it every kLoadStepInterval. `aLoad` is the mean over
  /// the zones that can be reached, weighted by slots; empty if it is not
  /// known. `aClasses` are the classes of the service's routes in ascending
  /// order.
  void Step(const std::optional<ZoneLoad>& aLoad,
            std::span<const FlowClass> aClasses);

  /// Whether a new flow of `aClass` with hash `aHash` is admitted. Equal flows
  /// get equal answers until the next step.
  bool Admits(const FlowClass& aClass, std::uint64_t aHash) const;

  /// Counts an admitted flow.
  void CountFlow(const FlowClass& aClass);

  Urgency UrgencyOf(const FlowClass& aClass) const;

  /// Whether the server `aToken` gets no new ordinary flows. All hosts with the
  /// same part for urgent flows agree; a larger part includes a smaller one.
  bool IsReserved(std::uint32_t aToken) const;

  /// Returns the part of the flows of `aClass` that is refused.
  double RefusedPart(const FlowClass& aClass) const;

  double Level() const { return m_level.Get(); }

private:
  void StepLevel(const ZoneLoad& aLoad);
  double UrgentPart() const;
  double HighestLevel() const;

  SteppedValue m_level;
  std::vector<FlowClass> m_classes;
  std::uint32_t m_fullSteps = 0;
  double m_urgentFlows = 0;
  double m_allFlows = 0;
};

} // namespace wasabiloom::placing
