/// Counts and logs what a registry reader tells.
#pragma once

#include "wasabiloom/registry/Reader.h"
#include "wasabiloom/token/Decision.h"
#include "wasabiloom/token/TokenEffects.h"

namespace wasabiloom::token {

/// Facts that a line names.
constexpr std::size_t kNamedFacts = 4;

/// One line for each change that the registry told this host, for each listing
/// and for each failed call; what is heard from peers is told in sum. One
/// thread at a time.
class RegistryEventLog final : public registry::ReaderEvents
{
public:
  /// The references must outlive the log.
  RegistryEventLog(Totals& aTotals, TokenEffects& aEffects);

  void OnFact(const registry::Fact& aFact,
              registry::FactOutcome aOutcome,
              registry::Origin aOrigin) override;
  void OnCallFailed(const registry::CallFailure& aFailure,
                    std::uint32_t aFailures,
                    base::Duration aPause) override;
  void OnReachable(std::uint64_t aRevision) override;
  void OnListed(std::uint64_t aRevision, std::size_t aFacts) override;

  /// What facts did since the last call, as key=value with a space before.
  std::string TakeSummary();

private:
  void Count(const registry::Fact& aFact, registry::FactOutcome aOutcome);

  Totals& m_totals;
  TokenEffects& m_effects;
  std::size_t m_adopted = 0;
  std::size_t m_others = 0;
  std::string m_named;
};

} // namespace wasabiloom::token
