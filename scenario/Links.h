/// The links between entry hosts.
#pragma once

#include "Script.h"

#include <random>
#include <set>
#include <utility>

namespace wasabiloom::scenario {

/// A random time between two bounds.
base::Duration
RandomBetween(std::mt19937_64& aRandom,
              base::Duration aLeast,
              base::Duration aMost);

/// Delay, loss and cuts. One thread at a time.
class Links
{
public:
  /// `aRandom` must outlive the links.
  Links(const LinkSpec& aSpec, std::mt19937_64& aRandom);

  /// Cuts every link between the two groups, in both directions.
  void Cut(const std::set<int>& aLeft, const std::set<int>& aRight);
  void Heal() { m_cut.clear(); }

  /// Whether a message from one host to another arrives.
  bool Carries(int aFrom, int aTo);

  /// Time that a message takes.
  base::Duration Delay();

private:
  LinkSpec m_spec;
  std::mt19937_64& m_random;
  std::set<std::pair<int, int>> m_cut;
};

} // namespace wasabiloom::scenario
