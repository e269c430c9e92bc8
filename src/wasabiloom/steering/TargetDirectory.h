/// The backend servers of one service as this host knows them.
#pragma once

#include "wasabiloom/bundle/Bundle.h"
#include "wasabiloom/steering/Types.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabiloom::steering {

/// What this host may send to one backend server, and where.
struct TargetInfo
{
  TargetId m_id;
  std::string m_name;
  std::string m_zone;
  base::Endpoint m_endpoint;
  std::uint32_t m_weight = 0;
  /// Share of the weight that new work should follow, in percent.
  std::uint32_t m_correction = 100;
  std::uint32_t m_requestSlots = 0;
  bool m_seenInBundle = false;
  bool m_acceptsPackets = false;
  bool m_acceptsNewWork = false;
};

/// Identity of `aTarget` within the service named `aService`; another
/// endpoint or service makes another identity. Thread safe.
TargetId
MakeTargetId(const std::string& aService, const bundle::Target& aTarget);

/// Slots of one service's backend servers. A slot never changes its meaning,
/// so tables may store it. One thread at a time.
class TargetDirectory
{
public:
  /// Adopts the service's entries of a bundle. Backend servers that are gone
  /// keep their slot and take no packets.
  void UpdateFromBundle(const bundle::Bundle& aBundle,
                        const bundle::Service& aService);

  /// Names of backend servers that the host list calls leaving.
  void SetLeaving(const std::vector<std::string>& aNames);

  /// Sets the correction of a slot; returns whether it changed.
  bool SetCorrection(TargetIndex aSlot, std::uint32_t aPercent);

  /// Slot of `aId`; an identity not yet in any bundle gets a slot that takes
  /// no packets until a bundle names it.
  TargetIndex IndexOf(const TargetId& aId);

  /// Precondition: `aSlot` came from this directory.
  const TargetInfo& At(TargetIndex aSlot) const { return m_targets[aSlot]; }

  /// Number of slots.
  std::size_t Size() const { return m_targets.size(); }

private:
  void Refresh();

  std::vector<TargetInfo> m_targets;
  std::vector<bool> m_active;
  std::vector<std::string> m_leaving;
  std::unordered_map<std::uint32_t, TargetIndex> m_slots;
};

} // namespace wasabiloom::steering
