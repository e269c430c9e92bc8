#include "wasabiloom/placing/AdmissionControl.h"

#include "wasabiloom/base/Hash.h"
#include "wasabiloom/placing/LoadCurve.h"

#include <algorithm>
#include <cmath>

namespace wasabiloom::placing {

namespace {

/// Make the decisions independent of other choices by the same hash.
constexpr std::uint64_t kAdmissionSalt = 0x61646d69;
constexpr std::uint64_t kReserveSalt = 0x72657376;

/// Smallest part of the demand that is taken to be less urgent, so that a host
/// with little traffic takes no large steps.
constexpr double kMinOrdinaryPart = 0.2;

} // namespace

void
AdmissionControl::Step(const std::optional<ZoneLoad>& aLoad,
                       std::span<const FlowClass> aClasses)
{
  m_classes.assign(aClasses.begin(), aClasses.end());
  const double before = m_level.Get();
  m_urgentFlows *= kFlowCountDecay;
  m_allFlows *= kFlowCountDecay;
  if (aLoad && aLoad->m_age <= kMaxEstimateAge) {
    StepLevel(*aLoad);
  } else {
    m_fullSteps = 0;
    m_level.Set(m_level.Get() - kAdmissionExpiryStep * HighestLevel());
  }
  const double level = std::clamp(m_level.Get(), 0.0, HighestLevel());
  m_level.Set(level < kMinLevel && level < before ? 0 : level);
  m_level.EndStep();
}

void
AdmissionControl::StepLevel(const ZoneLoad& aLoad)
{
  const double demand = DemandAt(aLoad.m_requestsPerSlot);
  m_fullSteps = demand > kDemandToBegin ? m_fullSteps + 1 : 0;
  const double level = m_level.Get();
  if (level == 0 && m_fullSteps < kStepsToBegin) {
    return;
  }
  const double ordinaryPart = std::max(1 - UrgentPart(), kMinOrdinaryPart);
  const auto stepTo = [&](double aDemand) {
    const double missing =
      (demand - aDemand) / ordinaryPart - m_level.UnseenChange(aLoad.m_age);
    return kAdmissionStepPart * missing;
  };
  if (demand > kDemandToRefuseMore) {
    m_level.Set(level +
                std::clamp(stepTo(kDemandToRefuseMore), 0.0, kMaxStepUp));
  } else if (demand < kDemandToRefuseLess) {
    m_level.Set(level + std::clamp(stepTo(kDemandToRefuseLess),
                                   -kMaxStepDown,
                                   -kIdleStepDown));
  } else {
    m_level.Set(level - kIdleStepDown);
  }
}

bool
AdmissionControl::Admits(const FlowClass& aClass, std::uint64_t aHash) const
{
  return base::PointOf(base::Combine(aHash, kAdmissionSalt)) >=
         RefusedPart(aClass);
}

void
AdmissionControl::CountFlow(const FlowClass& aClass)
{
  ++m_allFlows;
  m_urgentFlows += !m_classes.empty() && aClass <= m_classes.front() ? 1 : 0;
}

Urgency
AdmissionControl::UrgencyOf(const FlowClass& aClass) const
{
  if (m_level.Get() <= 0 || m_classes.empty()) {
    return Urgency::Equal;
  }
  return aClass <= m_classes.front() ? Urgency::Urgent : Urgency::Ordinary;
}

bool
AdmissionControl::IsReserved(std::uint32_t aToken) const
{
  return m_level.Get() > 0 &&
         base::PointOf(base::Combine(aToken, kReserveSalt)) < UrgentPart();
}

double
AdmissionControl::RefusedPart(const FlowClass& aClass) const
{
  const auto place = std::ranges::lower_bound(m_classes, aClass);
  const auto lessUrgent =
    std::max<std::ptrdiff_t>(m_classes.end() - place - 1, 0);
  if (place == m_classes.begin()) {
    return 0;
  }
  const double lost =
    std::clamp(m_level.Get() - static_cast<double>(lessUrgent), 0.0, 1.0);
  return std::pow(lost, 1 / kCallerAttempts) * (1 - kFloorShare);
}

double
AdmissionControl::UrgentPart() const
{
  return m_allFlows > 0 ? m_urgentFlows / m_allFlows : 0;
}

double
AdmissionControl::HighestLevel() const
{
  return m_classes.empty() ? 0 : static_cast<double>(m_classes.size() - 1);
}

} // namespace wasabiloom::placing
