/// Interface for the calls to the registry.
#pragma once

#include "wasabiloom/base/ResultCode.h"
#include "wasabiloom/registry/Facts.h"

#include <functional>
#include <string>

namespace wasabiloom::registry {

/// One page of a listing. The pages of a listing are no snapshot: values can
/// change between them.
struct Page
{
  std::vector<Fact> m_facts;
  /// Key to pass to List for the next page; empty on the last page.
  std::string m_nextKey;
  /// Revision of the registry at which the page was read, with the epoch of the
  /// answer; all facts of the page are of the same epoch.
  RegistryRevision m_revision;
};

/// Facts that changed after the revision of a watch.
struct Changes
{
  std::vector<Fact> m_facts;
  /// Revision to pass to the next Watch, with the epoch of the answer, which
  /// the facts have too.
  RegistryRevision m_revision;
};

/// Reason why a call failed.
struct CallFailure
{
  /// PlatformUnavailable, RateLimited, HistoryGone, RegistryMalformed or
  /// AnswerTooLarge.
  base::ResultCode m_code = base::ResultCode::Ok;
  std::string m_detail;
  /// Epoch of the registry that the failed answer named; 0 if none.
  std::uint64_t m_epoch = 0;
};

/// Sets the epoch of the page and of its facts.
void
SetEpoch(std::uint64_t aEpoch, Page& aPage);

/// Sets the epoch of the changes and of their facts.
void
SetEpoch(std::uint64_t aEpoch, Changes& aChanges);

/// Result of RegistryClient::List.
using ListResult = std::variant<Page, CallFailure>;
/// Result of RegistryClient::Watch.
using WatchResult = std::variant<Changes, CallFailure>;

/// Makes one call to the registry at a time. The handler of each call runs
/// exactly once, also on a timeout, on the calling thread and after the call
/// has returned.
class RegistryClient
{
public:
  virtual ~RegistryClient();

  /// Reads the page of values after the key `aAfter`; empty for the first page.
  /// With `aMayBeStale`, the page may be seconds old, which costs the registry
  /// less.
  virtual void List(const std::string& aAfter,
                    bool aMayBeStale,
                    base::Duration aTimeout,
                    std::function<void(ListResult)> aOnAnswer) = 0;

  /// Reads the changes after the number of `aRevision`, and waits up to `aWait`
  /// for the first.
  virtual void Watch(const RegistryRevision& aRevision,
                     base::Duration aWait,
                     base::Duration aTimeout,
                     std::function<void(WatchResult)> aOnAnswer) = 0;
};

} // namespace wasabiloom::registry
