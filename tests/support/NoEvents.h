/// Ignores the events of a reader.
#pragma once

#include "wasabiloom/registry/Reader.h"

namespace wasabiloom::tests {

/// A reader's events that nobody asks for.
class NoEvents final : public registry::ReaderEvents
{
public:
  void OnFact(const registry::Fact& /*aFact*/,
              registry::FactOutcome /*aOutcome*/,
              registry::Origin /*aOrigin*/) override
  {
  }
  void OnCallFailed(const registry::CallFailure& /*aFailure*/,
                    std::uint32_t /*aFailures*/,
                    base::Duration /*aPause*/) override
  {
  }
  void OnReachable(const registry::RegistryRevision& /*aRevision*/) override {}
  void OnEpoch(const registry::RegistryRevision& /*aRevision*/,
               std::size_t /*aKept*/) override
  {
  }
  void OnListed(const registry::RegistryRevision& /*aRevision*/,
                std::size_t /*aFacts*/) override
  {
  }
};

} // namespace wasabiloom::tests
