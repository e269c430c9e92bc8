/// A plain model of the registry that remembers every state it had, to compare
/// hosts with.
#pragma once

#include "support/Registry.h"

#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace wasabiloom::tests {

/// What a host serves by: the parts of the facts that decide where packets go.
/// Values of equal meaning are equal.
struct ServedState
{
  std::uint64_t m_version = 0;
  /// Service by address of the route.
  std::map<std::string, std::string> m_routes;
  /// Start and state of each listed server, by id.
  std::map<std::string, std::pair<std::uint64_t, registry::ServerState>>
    m_servers;
  std::set<std::string> m_zonesOut;

  friend bool operator==(const ServedState&, const ServedState&) = default;
};

/// Writes `aState` into the message of a failed check.
std::ostream&
operator<<(std::ostream& aOut, const ServedState& aState);

/// Returns what a host with the facts in `aCache` serves by.
ServedState
StateOf(const registry::RegistryCache& aCache);

/// The registry with all its past states. Deterministic.
class RegistryModel
{
public:
  explicit RegistryModel(std::mt19937_64& aRandom);

  /// Writes or removes one value, drawn at random.
  void Change(base::Instant aNow);

  /// Discards the history of all changes so far.
  void DropHistory() { m_historyFrom = Revision(); }

  /// Returns to the state of `aBack` changes ago, or the first, in a new epoch.
  void Restore(std::uint64_t aBack);

  /// Writes a configuration that is newer than any before.
  void Reconfigure(base::Instant aNow);

  std::uint64_t Epoch() const { return m_epoch; }

  std::uint64_t Revision() const { return m_states.size() - 1; }

  /// Returns the latest revision that was written before `aTime`.
  std::uint64_t RevisionBefore(base::Instant aTime) const;

  /// Returns the state at `aRevision`, which is at most Revision().
  const ServedState& At(std::uint64_t aRevision) const
  {
    return m_states.at(aRevision).m_served;
  }

  /// Returns the page after `aAfter` as it was at `aRevision`, of at most
  /// `aLength` values.
  registry::Page List(const std::string& aAfter,
                      std::uint64_t aRevision,
                      std::size_t aLength) const;

  /// Returns the changes after `aAfter`.
  registry::WatchResult Watch(std::uint64_t aAfter) const;

private:
  /// The values at one revision, by key, and the change that led there.
  struct State
  {
    std::map<std::string, registry::Fact> m_values;
    registry::Fact m_change;
    ServedState m_served;
    base::Instant m_at;
  };

  void Write(const std::string& aKey,
             const registry::FactContent& aContent,
             base::Instant aNow);
  registry::FactContent DrawConfiguration();
  registry::FactContent DrawServer(const std::string& aId);
  std::uint64_t Draw(std::uint64_t aBelow) { return m_random() % aBelow; }

  std::mt19937_64& m_random;
  std::vector<State> m_states;
  std::uint64_t m_historyFrom = 0;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_version = 0;
};

} // namespace wasabiloom::tests
