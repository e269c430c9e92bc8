/// What one host tells another of the registry.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/registry/Facts.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace wasabiloom::registry {

/// Everything that changed after `m_from`, up to `m_to`.
struct RegistryUpdate
{
  /// 0: the facts are all there are.
  std::uint64_t m_fromRevision = 0;
  std::uint64_t m_toRevision = 0;
  /// Time since the registry told that `m_to` is the latest.
  base::Duration m_age{ 0 };
  std::vector<Fact> m_facts;

  friend auto operator<=>(const RegistryUpdate&,
                          const RegistryUpdate&) = default;
};

} // namespace wasabiloom::registry
