#include "wasabiloom/placing/LoadCurve.h"

#include <algorithm>
#include <array>

namespace wasabiloom::placing {

namespace {

struct Point
{
  double m_load;
  double m_demand;
};

/// Requests per slot with random placing, 2 slots and a queue of 8.
constexpr std::array<Point, 5> kCurve = {
  { { 0, 0 }, { kWaitingLoad, 0.7 }, { 2.1, 0.9 }, { 2.6, 1.0 }, { 3.4, 1.2 } }
};

} // namespace

double
DemandAt(double aRequestsPerSlot)
{
  std::size_t i = 1;
  while (i + 1 < kCurve.size() && aRequestsPerSlot > kCurve.at(i).m_load) {
    ++i;
  }
  const Point& low = kCurve.at(i - 1);
  const Point& high = kCurve.at(i);
  const double part =
    (aRequestsPerSlot - low.m_load) / (high.m_load - low.m_load);
  return std::max(0.0, low.m_demand + part * (high.m_demand - low.m_demand));
}

} // namespace wasabiloom::placing
