/// Backend servers of one service and what this host may send to them.
#pragma once

#include "wasabiloom/bundle/Bundle.h"
#include "wasabiloom/steering/Types.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabiloom::steering {

/// Address and state of one backend server, and what this host may send to it.
struct TargetInfo
{
  TargetId m_id;
  std::string m_name;
  std::string m_zone;
  base::Endpoint m_endpoint;
  std::uint32_t m_weight = 0;
  /// Factor applied to the weight when rows are distributed, in percent.
  std::uint32_t m_correction = 100;
  /// Number of requests that the backend server processes at the same time.
  std::uint32_t m_requestSlots = 0;
  /// Whether some bundle has listed the backend server.
  bool m_seenInBundle = false;
  /// Whether the current bundle lists it in a zone that is in service.
  bool m_acceptsPackets = false;
  /// Whether it may also receive new flows and requests: it takes packets, is
  /// active, is not leaving and has a weight above zero.
  bool m_acceptsNewWork = false;
};

/// Returns the identity of `aTarget` within the service named `aService`. It
/// depends on the service and on the name and endpoint of the target. Thread
/// safe.
TargetId
MakeTargetId(const std::string& aService, const bundle::Target& aTarget);

/// Assigns slots to the backend servers of one service. A slot always refers to
/// the same backend server, so tables may store it. Not thread safe.
class TargetDirectory
{
public:
  /// Updates the directory with the service's entries of a bundle. Backend
  /// servers that the bundle no longer lists keep their slot and take no
  /// packets.
  void UpdateFromBundle(const bundle::Bundle& aBundle,
                        const bundle::Service& aService);

  /// Sets the names of the backend servers that the host list marks as leaving;
  /// they take no new work.
  void SetLeaving(const std::vector<std::string>& aNames);

  /// Sets the weight correction of a slot and returns whether it changed.
  /// Precondition: `aSlot` came from this directory.
  bool SetCorrection(TargetIndex aSlot, std::uint32_t aPercent);

  /// Returns the slot of `aId`. An unknown identity gets a new slot, which
  /// takes no packets until a bundle lists the backend server.
  TargetIndex IndexOf(const TargetId& aId);

  /// Returns the entry of `aSlot`. Precondition: `aSlot` came from this
  /// directory.
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
