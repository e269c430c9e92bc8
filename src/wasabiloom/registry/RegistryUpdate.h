/// Registry changes that one host sends to another.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/registry/Facts.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace wasabiloom::registry {

/// The facts that changed after revision `m_fromRevision`, up to revision
/// `m_toRevision` of the same epoch. An update of all facts may hold some of
/// earlier epochs, which are kept in spite of a restored state.
struct RegistryUpdate
{
  /// With 0, `m_facts` holds all current facts.
  RegistryRevision m_fromRevision;
  RegistryRevision m_toRevision;
  /// Time since the registry reported `m_toRevision` as its latest revision.
  base::Duration m_age{ 0 };
  std::vector<Fact> m_facts;
  /// Earliest known revision of the epoch of `m_toRevision`, and the time since
  /// a host learned of the epoch; see EpochStart.
  RegistryRevision m_epochFirst{};
  base::Duration m_epochAge{ 0 };

  friend auto operator<=>(const RegistryUpdate&,
                          const RegistryUpdate&) = default;
};

} // namespace wasabiloom::registry
