/// Counts and logs the events of a registry reader.
#pragma once

#include "wasabiloom/registry/Reader.h"
#include "wasabiloom/token/Decision.h"
#include "wasabiloom/token/TokenEffects.h"

namespace wasabiloom::token {

/// Maximum number of facts that a summary names; bounds the line length.
constexpr std::size_t kNamedFacts = 4;

/// Logs one line for each change that the registry reported to this host, for
/// each listing and for each failed call. Facts from peers and listings are
/// summarized, except those that were set aside. Not thread safe.
class RegistryEventLog final : public registry::ReaderEvents
{
public:
  /// The references must outlive this object.
  RegistryEventLog(Totals& aTotals, TokenEffects& aEffects);

  void OnFact(const registry::Fact& aFact,
              registry::FactOutcome aOutcome,
              registry::Origin aOrigin) override;
  void OnCallFailed(const registry::CallFailure& aFailure,
                    std::uint32_t aFailures,
                    base::Duration aPause) override;
  void OnReachable(const registry::RegistryRevision& aRevision) override;
  void OnEpoch(const registry::RegistryRevision& aRevision,
               std::size_t aKept) override;
  void OnListed(const registry::RegistryRevision& aRevision,
                std::size_t aFacts) override;

  /// Returns the number of facts adopted and not adopted since the last call,
  /// with the names of the first adopted ones, as key=value fields that each
  /// start with a space. Resets the counts.
  std::string TakeSummary();

private:
  void Count(const registry::Fact& aFact, registry::FactOutcome aOutcome);
  /// Logs the first parts of a value that could not be read.
  void ReportLeftOut(const registry::Fact& aFact);

  Totals& m_totals;
  TokenEffects& m_effects;
  std::size_t m_adopted = 0;
  std::size_t m_others = 0;
  std::string m_named;
};

} // namespace wasabiloom::token
