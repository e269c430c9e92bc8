/// What the other modules may ask about the live entry hosts.
#pragma once

#include "wasabiloom/base/HostId.h"

#include <cstdint>
#include <vector>

namespace wasabiloom::peer {

/// This host's opinion of its peers. One thread at a time.
class HostView
{
public:
  virtual ~HostView();

  /// This host.
  virtual base::HostId Self() const = 0;

  /// Whether `aHost` is this host or has been heard lately.
  virtual bool IsLive(base::HostId aHost) const = 0;

  /// All live hosts but this one, in ascending order.
  virtual const std::vector<base::HostId>& LivePeers() const = 0;

  /// Owner of the item with hash `aHash`: the ready host with the highest
  /// score; among joining hosts where none is ready.
  virtual base::HostId OwnerOf(std::uint64_t aHash) const = 0;

  /// Host that would own `aHash` if this host did not exist; this host when
  /// it is alone.
  virtual base::HostId BackupOf(std::uint64_t aHash) const = 0;

  /// Rises whenever any of the other answers may have changed.
  virtual std::uint64_t Generation() const = 0;
};

} // namespace wasabiloom::peer
