/// What the fleet may ask of a host's knowledge of the registry.
#pragma once

#include "wasabiloom/registry/Reader.h"
#include "wasabiloom/registry/RegistryUpdate.h"

#include <optional>

namespace wasabiloom::fleet {

/// Implemented by a host. One thread at a time.
class LocalFacts
{
public:
  virtual ~LocalFacts();

  /// Takes in what a peer has learned.
  virtual registry::UpdateOutcome OnPeerUpdate(
    const registry::RegistryUpdate& aNews,
    base::Instant aNow) = 0;

  /// What a peer that knows all up to `aRevision` does not know yet; empty
  /// while the host knows too little itself.
  virtual std::optional<registry::RegistryUpdate> UpdateSince(
    std::uint64_t aRevision,
    base::Instant aNow) const = 0;

  /// When the registry last answered this host itself.
  virtual base::Instant AnsweredAt() const = 0;

  /// When the host last learned how things stand, from the registry or a peer.
  virtual base::Instant LearnedAt() const = 0;

  /// Whether the host can tell all facts.
  virtual bool IsReady() const = 0;

  /// Whether the registry has been listed.
  virtual bool HasListed() const = 0;

  /// Whether the last call on the registry failed.
  virtual bool IsFailing() const = 0;

  /// Revision up to which all changes are known.
  virtual std::uint64_t Revision() const = 0;

  /// The host is to call the registry only when its news is older, and seldom
  /// after failures where it stands by; see registry::Reader.
  virtual void SetMaxUpdateAge(base::Duration aPatience, bool aStandsBy) = 0;

  /// The host is not to list the registry before `aUntil`, as others may tell
  /// it the facts sooner.
  virtual void HoldListing(base::Instant aUntil) = 0;
};

} // namespace wasabiloom::fleet
