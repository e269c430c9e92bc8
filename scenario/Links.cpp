#include "Links.h"

namespace wasabiloom::scenario {

base::Duration
RandomBetween(std::mt19937_64& aRandom,
              base::Duration aLeast,
              base::Duration aMost)
{
  std::uniform_int_distribution<base::Duration::rep> pick(aLeast.count(),
                                                          aMost.count());
  return base::Duration(pick(aRandom));
}

Links::Links(const LinkSpec& aSpec, std::mt19937_64& aRandom)
  : m_spec(aSpec)
  , m_random(aRandom)
{
}

void
Links::Cut(const std::set<int>& aLeft, const std::set<int>& aRight)
{
  for (const int left : aLeft) {
    for (const int right : aRight) {
      m_cut.insert({ left, right });
      m_cut.insert({ right, left });
    }
  }
}

bool
Links::Carries(int aFrom, int aTo)
{
  return aTo >= 0 && !m_cut.contains({ aFrom, aTo }) &&
         std::uniform_real_distribution<double>(0, 1)(m_random) >=
           m_spec.m_loss;
}

base::Duration
Links::Delay()
{
  return RandomBetween(m_random, m_spec.m_least, m_spec.m_most);
}

} // namespace wasabiloom::scenario
