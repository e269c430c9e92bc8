/// Counts and logs what a registry reader tells.
#pragma once

#include "wasabiloom/registry/Reader.h"
#include "wasabiloom/token/Decision.h"
#include "wasabiloom/token/TokenEffects.h"

namespace wasabiloom::token {

/// One line for each change of belief and each failed call. One thread at a
/// time.
class BeliefLog final : public registry::ReaderEvents
{
public:
  /// The references must outlive the log.
  BeliefLog(Totals& aTotals, TokenEffects& aEffects);

  void OnFact(const registry::Fact& aFact, registry::Outcome aOutcome) override;
  void OnCallFailed(const registry::CallFailure& aFailure,
                    std::uint32_t aFailures,
                    base::Duration aPause) override;
  void OnReachable(std::uint64_t aRevision) override;
  void OnListed(std::uint64_t aRevision, std::size_t aFacts) override;

private:
  Totals& m_totals;
  TokenEffects& m_effects;
};

} // namespace wasabiloom::token
