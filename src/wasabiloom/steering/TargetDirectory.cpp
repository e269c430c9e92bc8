#include "wasabiloom/steering/TargetDirectory.h"

#include <algorithm>

namespace wasabiloom::steering {

TargetId
MakeTargetId(const std::string& aService, const bundle::Target& aTarget)
{
  const std::string text =
    aService + '/' + aTarget.m_name + '/' + ToString(aTarget.m_endpoint);
  return TargetId{ static_cast<std::uint32_t>(base::HashText(text)) };
}

void
TargetDirectory::Adopt(const bundle::Bundle& aBundle,
                       const bundle::Service& aService)
{
  for (std::size_t slot = 0; slot < m_targets.size(); ++slot) {
    m_targets[slot].m_takesPackets = false;
    m_active[slot] = false;
  }
  for (const bundle::Target& target : aService.m_targets) {
    const TargetSlot slot = SlotOf(MakeTargetId(aService.m_name, target));
    TargetInfo& info = m_targets[slot];
    info.m_name = target.m_name;
    info.m_zone = target.m_zone;
    info.m_endpoint = target.m_endpoint;
    info.m_weight = target.m_weight;
    info.m_slots = target.m_slots;
    info.m_known = true;
    info.m_takesPackets =
      bundle::StateOfZone(aBundle, target.m_zone) == bundle::ZoneState::In;
    m_active[slot] = target.m_state == bundle::TargetState::Active;
  }
  Refresh();
}

void
TargetDirectory::SetLeaving(const std::vector<std::string>& aNames)
{
  m_leaving = aNames;
  Refresh();
}

bool
TargetDirectory::SetCorrection(TargetSlot aSlot, std::uint32_t aPercent)
{
  std::uint32_t& correction = m_targets[aSlot].m_correction;
  const bool changed = correction != aPercent;
  correction = aPercent;
  return changed;
}

TargetSlot
TargetDirectory::SlotOf(const TargetId& aId)
{
  const auto next = static_cast<TargetSlot>(m_targets.size());
  const auto [found, isNew] = m_slots.try_emplace(aId.m_value, next);
  if (isNew) {
    TargetInfo info;
    info.m_id = aId;
    m_targets.push_back(info);
    m_active.push_back(false);
  }
  return found->second;
}

void
TargetDirectory::Refresh()
{
  for (std::size_t slot = 0; slot < m_targets.size(); ++slot) {
    TargetInfo& info = m_targets[slot];
    const bool leaving =
      std::ranges::find(m_leaving, info.m_name) != m_leaving.end();
    info.m_takesNew =
      info.m_takesPackets && m_active[slot] && !leaving && info.m_weight > 0;
  }
}

} // namespace wasabiloom::steering
