/// Runs one scenario.
#pragma once

#include "HostUnderTest.h"
#include "Measures.h"
#include "Script.h"

#include <cstdint>
#include <optional>

namespace wasabiloom::scenario {

/// Runs `aScript` with `aPolicy`. With `aTracedFlow` it prints what concerned
/// that flow. Equal arguments give equal measures. Errors: UsageError for a
/// step that cannot be understood. Thread safe.
base::Result<Measures>
RunScript(const Script& aScript,
          Policy aPolicy,
          std::optional<std::int64_t> aTracedFlow);

/// Expectations that `aMeasures` does not meet, each as a line of text. Thread
/// safe.
std::vector<std::string>
Unmet(const Script& aScript, const Measures& aMeasures);

} // namespace wasabiloom::scenario
