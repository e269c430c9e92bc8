#include "wasabiloom/fleet/LiveMemberIndex.h"

#include "wasabiloom/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace wasabiloom::fleet {

namespace {

/// Sort key of a member: highest capacity first, then by a hash of the address.
auto
RankKey(const Member& aMember)
{
  return std::tuple(~aMember.m_capacity, base::Mix(aMember.m_address.m_bits));
}

} // namespace

void
LiveMemberIndex::Build(const Member& aSelf,
                       const std::vector<const Member*>& aMembers)
{
  m_all.clear();
  m_near.clear();
  m_far.clear();
  m_byZone.clear();
  for (const Member* member : aMembers) {
    const bool isNear = member->m_zone == aSelf.m_zone;
    m_all.push_back(member->m_address);
    (isNear ? m_near : m_far).push_back(member->m_address);
    m_byZone[member->m_zone].push_back(member);
  }
  Rank(aSelf);
}

void
LiveMemberIndex::Rank(const Member& aSelf)
{
  m_rankInZone = 0;
  m_rankInFleet = 0;
  m_zonesBefore = 0;
  const auto own = RankKey(aSelf);
  auto firstOfZone = own;
  for (const Member* peer : m_byZone[aSelf.m_zone]) {
    firstOfZone = std::min(firstOfZone, RankKey(*peer));
    m_rankInZone += RankKey(*peer) < own ? 1 : 0;
  }
  for (const auto& [zone, members] : m_byZone) {
    bool isBefore = false;
    for (const Member* member : members) {
      m_rankInFleet += RankKey(*member) < own ? 1 : 0;
      isBefore |= RankKey(*member) < firstOfZone;
    }
    m_zonesBefore += isBefore ? 1 : 0;
  }
}

} // namespace wasabiloom::fleet
