/// Interface to a host's knowledge of the registry, for distributing it in the
/// fleet.
#pragma once

#include "wasabiloom/registry/Reader.h"
#include "wasabiloom/registry/RegistryUpdate.h"

#include <optional>

namespace wasabiloom::fleet {

/// Implemented by each host. Not thread safe.
class LocalFacts
{
public:
  virtual ~LocalFacts();

  /// Applies an update from a peer.
  virtual registry::UpdateOutcome OnPeerUpdate(
    const registry::RegistryUpdate& aUpdate,
    base::Instant aNow) = 0;

  /// Returns what a peer that knows all changes up to `aRevision` lacks; empty
  /// while this host knows too little itself.
  virtual std::optional<registry::RegistryUpdate> UpdateSince(
    const registry::RegistryRevision& aRevision,
    base::Instant aNow) const = 0;

  /// Time at which the registry last answered this host directly.
  virtual base::Instant AnsweredAt() const = 0;

  /// Time at which the facts of this host were last known to be current, from
  /// the registry or a peer.
  virtual base::Instant LearnedAt() const = 0;

  /// Whether this host can provide all facts.
  virtual bool IsReady() const = 0;

  /// Whether the registry has been listed.
  virtual bool HasListed() const = 0;

  /// Whether the last call to the registry failed.
  virtual bool IsFailing() const = 0;

  /// Revision up to which all changes are known.
  virtual registry::RegistryRevision Revision() const = 0;

  /// Revision after which this host needs the changes from a peer; 0 when it
  /// needs all facts.
  virtual registry::RegistryRevision PullFrom(base::Instant aNow) const = 0;

  /// Whether peers may keep facts that the registry lost in a restore and that
  /// this host has not learned yet; see registry::RegistryCache.
  virtual bool LacksKeptFacts(base::Instant aNow) const = 0;

  /// Sets that the host calls the registry only when its last update is older
  /// than `aMaxUpdateAge`, and, if `aStandsBy`, that it retries less often
  /// after failures; see registry::Reader.
  virtual void SetMaxUpdateAge(base::Duration aMaxUpdateAge,
                               bool aStandsBy) = 0;

  /// Sets that the host does not list the registry before `aUntil`, as other
  /// hosts may provide the facts sooner.
  virtual void HoldListing(base::Instant aUntil) = 0;
};

} // namespace wasabiloom::fleet
