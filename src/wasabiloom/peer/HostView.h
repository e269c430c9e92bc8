/// What the other modules may ask about the live entry hosts.
#pragma once

#include "wasabiloom/base/HostId.h"
#include "wasabiloom/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wasabiloom::peer {

/// How long after a departure the flows of the departed host may stay silent
/// without being lost.
constexpr base::Duration kDepartureMemory = std::chrono::seconds(60);

/// This host's opinion of its peers. One thread at a time.
class HostView
{
public:
  virtual ~HostView();

  /// This host.
  virtual base::HostId Self() const = 0;

  /// Whether `aHost` is this host or has been heard lately.
  virtual bool IsLive(base::HostId aHost) const = 0;

  /// Whether the process of `aHost` with that incarnation, and no successor,
  /// is live.
  virtual bool IsLiveProcess(base::HostId aHost,
                             std::uint64_t aIncarnation) const = 0;

  /// Incarnation of this process.
  virtual std::uint64_t Incarnation() const = 0;

  /// All live hosts but this one, in ascending order.
  virtual const std::vector<base::HostId>& LivePeers() const = 0;

  /// Owner of member `aMember` of the group with hash `aGroup`. The ready
  /// hosts, or the joining ones where none is ready, are ranked by their score
  /// for the group and take its members in turn, so that a group's members
  /// are spread evenly.
  virtual base::HostId OwnerOf(std::uint64_t aGroup,
                               std::size_t aMember) const = 0;

  /// Host that would own the member if neither this host nor `aOther` existed;
  /// this host when there is no third. `aOther` may be zero.
  virtual base::HostId BackupOf(std::uint64_t aGroup,
                                std::size_t aMember,
                                base::HostId aOther) const = 0;

  /// When a peer last died, left or restarted: the flows that it alone had
  /// seen are known to nobody since.
  virtual base::Instant LastDeparture() const = 0;

  /// Whether the last departure is no older than kDepartureMemory.
  bool HasRecentDeparture(base::Instant aNow) const;

  /// Rises whenever any of the other answers may have changed.
  virtual std::uint64_t Generation() const = 0;
};

} // namespace wasabiloom::peer
