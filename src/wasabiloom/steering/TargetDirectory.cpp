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
TargetDirectory::UpdateFromBundle(const bundle::Bundle& aBundle,
                                  const bundle::Service& aService)
{
  for (std::size_t slot = 0; slot < m_targets.size(); ++slot) {
    m_targets[slot].m_acceptsPackets = false;
    m_active[slot] = false;
  }
  for (const bundle::Target& target : aService.m_targets) {
    const TargetIndex slot = IndexOf(MakeTargetId(aService.m_name, target));
    TargetInfo& info = m_targets[slot];
    info.m_name = target.m_name;
    info.m_zone = target.m_zone;
    info.m_endpoint = target.m_endpoint;
    info.m_weight = target.m_weight;
    info.m_requestSlots = target.m_slots;
    info.m_seenInBundle = true;
    info.m_acceptsPackets =
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
TargetDirectory::SetCorrection(TargetIndex aSlot, std::uint32_t aPercent)
{
  std::uint32_t& correction = m_targets[aSlot].m_correction;
  const bool changed = correction != aPercent;
  correction = aPercent;
  return changed;
}

TargetIndex
TargetDirectory::IndexOf(const TargetId& aId)
{
  const auto next = static_cast<TargetIndex>(m_targets.size());
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
    info.m_acceptsNewWork =
      info.m_acceptsPackets && m_active[slot] && !leaving && info.m_weight > 0;
  }
}

} // namespace wasabiloom::steering
