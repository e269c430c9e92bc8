#include "wasabiloom/placing/ZoneBalance.h"

#include "wasabiloom/base/Hash.h"
#include "wasabiloom/placing/LoadCurve.h"

#include <algorithm>

namespace wasabiloom::placing {

namespace {

/// Makes the choice of the zone independent of other choices by the same hash.
constexpr std::uint64_t kZoneSalt = 0x7a6f6e65;

bool
IsRecent(const ZoneState& aZone)
{
  return aZone.m_load && aZone.m_load->m_age <= kMaxEstimateAge;
}

/// Returns `aValue` moved towards zero by kLevelTolerance.
double
BeyondTolerance(double aValue)
{
  return aValue > 0 ? std::max(0.0, aValue - kLevelTolerance)
                    : std::min(0.0, aValue + kLevelTolerance);
}

} // namespace

void
ZoneBalance::Step(const ZoneState& aOwn, std::span<const ZoneState> aOthers)
{
  double slots = aOwn.m_slots;
  for (const ZoneState& other : aOthers) {
    slots += other.m_isUsable && IsRecent(other) ? other.m_slots : 0;
  }
  for (auto& [zone, share] : m_shares) {
    share.m_isListed = false;
  }
  for (const ZoneState& other : aOthers) {
    auto known = m_shares.find(other.m_zone);
    if (known == m_shares.end()) {
      known = m_shares.emplace(other.m_zone, Share{}).first;
    }
    known->second.m_isListed = true;
    StepShare(known->second, aOwn, other, other.m_slots / slots);
  }
  std::erase_if(m_shares,
                [](const auto& aEntry) { return !aEntry.second.m_isListed; });
  LimitTotal();
  for (auto& [zone, share] : m_shares) {
    share.m_value.EndStep();
  }
}

void
ZoneBalance::StepShare(Share& aShare,
                       const ZoneState& aOwn,
                       const ZoneState& aOther,
                       double aSlotPart)
{
  if (!aOther.m_isUsable || aOther.m_slots <= 0) {
    aShare.m_value.Set(0);
    return;
  }
  if (!IsRecent(aOwn) || !IsRecent(aOther)) {
    aShare.m_value.Set(std::max(0.0, aShare.m_value.Get() - kExpiryStep));
    return;
  }
  const double level = std::max(aOther.m_load->m_requestsPerSlot, kWaitingLoad);
  const double excess =
    BeyondTolerance(DemandAt(aOwn.m_load->m_requestsPerSlot) - DemandAt(level));
  const base::Duration age = std::max(aOwn.m_load->m_age, aOther.m_load->m_age);
  const double missing = excess * aSlotPart - aShare.m_value.UnseenChange(age);
  const double step =
    std::clamp(kStepPart * missing, -kMaxShareStep, kMaxShareStep);
  const double value = aShare.m_value.Get() * (1 - kShareDecay) + step;
  aShare.m_value.Set(value < kMinShare ? 0 : value);
}

void
ZoneBalance::LimitTotal()
{
  m_total = 0;
  for (const auto& [zone, share] : m_shares) {
    m_total += share.m_value.Get();
  }
  if (m_total <= kMaxSpill) {
    return;
  }
  for (auto& [zone, share] : m_shares) {
    share.m_value.Set(share.m_value.Get() * kMaxSpill / m_total);
  }
  m_total = kMaxSpill;
}

std::string_view
ZoneBalance::ZoneFor(std::uint64_t aHash) const
{
  if (m_total <= 0) {
    return {};
  }
  double point = base::PointOf(base::Combine(aHash, kZoneSalt));
  for (const auto& [zone, share] : m_shares) {
    if (point < share.m_value.Get()) {
      return zone;
    }
    point -= share.m_value.Get();
  }
  return {};
}

double
ZoneBalance::ShareOf(std::string_view aZone) const
{
  const auto known = m_shares.find(aZone);
  return known == m_shares.end() ? 0 : known->second.m_value.Get();
}

} // namespace wasabiloom::placing
