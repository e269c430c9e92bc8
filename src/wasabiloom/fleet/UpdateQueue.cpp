#include "wasabiloom/fleet/UpdateQueue.h"

#include <algorithm>
#include <bit>
#include <functional>

namespace wasabiloom::fleet {

namespace {

/// Number of messages that carry a statement, for each doubling of the fleet.
constexpr std::size_t kRidesADoubling = 2;

} // namespace

std::size_t
SendsOfChange(std::size_t aMembers)
{
  return kRidesADoubling * std::bit_width(aMembers) + 1;
}

void
UpdateQueue::Add(const Member& aMember, std::size_t aRides)
{
  std::erase_if(m_pending, [&](const Pending& aOne) {
    return aOne.m_member.m_address == aMember.m_address;
  });
  if (aRides > 0) {
    m_pending.push_back({ aMember, aRides });
  }
}

std::vector<Member>
UpdateQueue::Take()
{
  const std::size_t count = std::min(m_pending.size(), kMaxUpdatesPerMessage);
  const auto end = m_pending.begin() + static_cast<std::ptrdiff_t>(count);
  std::ranges::partial_sort(m_pending, end, std::greater{}, &Pending::m_left);
  std::vector<Member> taken;
  taken.reserve(count);
  std::for_each(m_pending.begin(), end, [&](Pending& aOne) {
    taken.push_back(aOne.m_member);
    --aOne.m_left;
  });
  std::erase_if(m_pending,
                [](const Pending& aOne) { return aOne.m_left == 0; });
  return taken;
}

} // namespace wasabiloom::fleet
