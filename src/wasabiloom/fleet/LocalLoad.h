/// Interface to a host's knowledge of the load, for exchanging it in the fleet.
#pragma once

#include "wasabiloom/placing/LoadTable.h"

namespace wasabiloom::fleet {

/// Implemented by each host. Not thread safe.
class LocalLoad
{
public:
  virtual ~LocalLoad();

  /// Returns what this host observed since the last call, and restarts the
  /// averages. The first call starts observing.
  virtual placing::HostLoad TakeLoad(base::Instant aNow) = 0;

  /// Sets the number of live hosts by zone, this host included.
  virtual void SetLiveHosts(placing::LiveHosts aLiveHosts) = 0;

  /// Merges a report, of this host or of another. Returns false if it was
  /// ignored; see placing::LoadTable::Merge.
  virtual bool MergeLoad(const placing::Reporter& aFrom,
                         const placing::HostLoad& aLoad,
                         const placing::LearnedLoad& aLearned,
                         base::Instant aNow) = 0;

  /// See placing::LoadTable::Newest.
  virtual placing::LearnedLoad NewestLoad(std::size_t aZones,
                                          base::Instant aNow) const = 0;
};

} // namespace wasabiloom::fleet
