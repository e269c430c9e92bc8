/// The members of a roster that are not gone, by zone and by rank.
#pragma once

#include "wasabiloom/fleet/Member.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace wasabiloom::fleet {

/// Made anew when members change. One thread at a time.
class LiveMemberIndex
{
public:
  using Zones = std::map<std::string, std::vector<const Member*>>;

  /// Takes in `aMembers`, which are not gone and stand in the order of their
  /// addresses; `aSelf` is none of them. They must outlive the index, or its
  /// next Build.
  void Build(const Member& aSelf, const std::vector<const Member*>& aMembers);

  /// Addresses in rising order: all, those of the own zone, and the others.
  const std::vector<base::Ipv4Address>& All() const { return m_all; }
  const std::vector<base::Ipv4Address>& SameZone() const { return m_near; }
  const std::vector<base::Ipv4Address>& OtherZones() const { return m_far; }

  const Zones& ByZone() const { return m_byZone; }

  /// Place of `aSelf` in its zone and among all, the most capable first, and
  /// other zones with a member before its zone's first.
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
