/// Facts, and a registry without a network, for tests.
#pragma once

#include "wasabiloom/registry/RegistryCache.h"
#include "wasabiloom/registry/RegistryClient.h"

#include <string>

namespace wasabiloom::tests {

/// A point in time that is no epoch.
inline base::Instant
At(double aSeconds)
{
  return base::Instant(std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(1000 + aSeconds)));
}

/// A ready server; its address ends in its number.
registry::Server
MakeServer(const std::string& aId,
           const std::string& aZone = "a",
           std::uint64_t aBorn = 1);

registry::Fact
ServerFact(const registry::Server& aServer, std::uint64_t aRevision);

registry::Fact
RemovedFact(registry::FactKind aKind,
            const std::string& aName,
            std::uint64_t aRevision);

registry::Fact
ZoneOutFact(const std::string& aZone, std::uint64_t aRevision);

/// A configuration with the route 198.18.0.1:443 to the service "desk".
registry::Fact
ConfigurationFact(std::uint64_t aVersion, std::uint64_t aRevision);

} // namespace wasabiloom::tests
