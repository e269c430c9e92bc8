/// What one host tells another of the registry.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/registry/Facts.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace wasabiloom::registry {

/// Everything that changed after `m_from`, up to `m_to`.
struct News
{
  /// 0: the facts are all there are.
  std::uint64_t m_from = 0;
  std::uint64_t m_to = 0;
  /// Time since the registry told that `m_to` is the latest.
  base::Duration m_age{ 0 };
  std::vector<Fact> m_facts;

  friend auto operator<=>(const News&, const News&) = default;
};

} // namespace wasabiloom::registry
