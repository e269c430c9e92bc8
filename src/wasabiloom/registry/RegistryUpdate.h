/// Registry changes that one host sends to another.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/registry/Facts.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace wasabiloom::registry {

/// The facts that changed after revision `m_fromRevision`, up to revision
/// `m_toRevision`.
struct RegistryUpdate
{
  /// With 0, `m_facts` holds all current facts.
  std::uint64_t m_fromRevision = 0;
  std::uint64_t m_toRevision = 0;
  /// Time since the registry reported `m_toRevision` as its latest revision.
  base::Duration m_age{ 0 };
  std::vector<Fact> m_facts;

  friend auto operator<=>(const RegistryUpdate&,
                          const RegistryUpdate&) = default;
};

} // namespace wasabiloom::registry
