/// Where facts are read: the registry's calls as the product sees them.
#pragma once

#include "wasabiloom/base/ResultCode.h"
#include "wasabiloom/registry/Facts.h"

#include <functional>
#include <string>

namespace wasabiloom::registry {

/// One page of a listing. Pages of one listing are no snapshot.
struct Page
{
  std::vector<Fact> m_facts;
  /// Where the next page begins; empty after the last.
  std::string m_nextKey;
  /// Revision of the registry when the page was made.
  std::uint64_t m_revision = 0;
};

/// What changed since a revision.
struct Changes
{
  std::vector<Fact> m_facts;
  /// Where to go on from.
  std::uint64_t m_revision = 0;
};

/// Why a call gave nothing.
struct CallFailure
{
  /// PlatformUnavailable, RateLimited, HistoryGone or RegistryMalformed.
  base::ResultCode m_code = base::ResultCode::Ok;
  std::string m_detail;
};

/// Outcome of Source::List.
using ListResult = std::variant<Page, CallFailure>;
/// Outcome of Source::Watch.
using WatchResult = std::variant<Changes, CallFailure>;

/// Makes one call at a time. The handlers run later, on the same thread,
/// exactly once for each call, also when time runs out.
class RegistryClient
{
public:
  virtual ~RegistryClient();

  /// Reads the page that begins after `aAfter`; empty for the first. It may
  /// be seconds old, and costs the registry less, where `aMayBeStale` is set.
  virtual void List(const std::string& aAfter,
                    bool aMayBeStale,
                    base::Duration aTimeout,
                    std::function<void(ListResult)> aOnAnswer) = 0;

  /// Waits up to `aWait` for changes after `aRevision`.
  virtual void Watch(std::uint64_t aRevision,
                     base::Duration aWait,
                     base::Duration aTimeout,
                     std::function<void(WatchResult)> aOnAnswer) = 0;
};

} // namespace wasabiloom::registry
