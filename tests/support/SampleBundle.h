/// Bundles for tests.
#pragma once

#include "wasabiloom/bundle/Bundle.h"

#include <string>

namespace wasabiloom::tests {

/// Service in connections mode with `aTargets` active backend servers, spread
/// over zones a, b and c.
bundle::Service
SampleService(const std::string& aName, int aTargets, int aNet = 1);

/// Zones a, b, c and the given services, at version `aVersion`.
bundle::Bundle
SampleBundle(std::uint64_t aVersion, std::vector<bundle::Service> aServices);

/// JSON text that ReadBundle turns into `aBundle`.
std::string
BundleText(const bundle::Bundle& aBundle);

} // namespace wasabiloom::tests
