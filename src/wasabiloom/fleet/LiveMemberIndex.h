/// Index of the members that are not gone, by zone and by rank.
#pragma once

#include "wasabiloom/fleet/Member.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace wasabiloom::fleet {

/// Rebuilt when members change. Not thread safe.
class LiveMemberIndex
{
public:
  using Zones = std::map<std::string, std::vector<const Member*>>;

  /// Rebuilds the index from `aMembers`, which must not be gone, must be sorted
  /// by address and must not include `aSelf`. They must outlive the index, or
  /// stay valid until the next Build.
  void Build(const Member& aSelf, const std::vector<const Member*>& aMembers);

  /// Addresses in ascending order: all members, those in the zone of `aSelf`,
  /// and those in other zones.
  const std::vector<base::Ipv4Address>& All() const { return m_all; }
  const std::vector<base::Ipv4Address>& SameZone() const { return m_near; }
  const std::vector<base::Ipv4Address>& OtherZones() const { return m_far; }

  const Zones& ByZone() const { return m_byZone; }

  /// Rank of `aSelf`, from 0, in its zone and among all members, highest
  /// capacity first; and the number of other zones with a member that ranks
  /// before the first of its zone.
  std::size_t RankInZone() const { return m_rankInZone; }
  std::size_t RankInFleet() const { return m_rankInFleet; }
  std::size_t ZonesBefore() const { return m_zonesBefore; }

private:
  void Rank(const Member& aSelf);

  std::vector<base::Ipv4Address> m_all;
  std::vector<base::Ipv4Address> m_near;
  std::vector<base::Ipv4Address> m_far;
  Zones m_byZone;
  std::size_t m_rankInZone = 0;
  std::size_t m_rankInFleet = 0;
  std::size_t m_zonesBefore = 0;
};

} // namespace wasabiloom::fleet
