#include "support/Registry.h"

namespace wasabiloom::tests {

using registry::Fact;
using registry::FactKind;

registry::Server
MakeServer(const std::string& aId,
           const std::string& aZone,
           std::uint64_t aBorn)
{
  registry::Server server;
  server.m_id = aId;
  server.m_numericId = std::stoull(aId.substr(aId.find('-') + 1), nullptr, 16);
  server.m_startId = aBorn;
  server.m_service = "desk";
  server.m_address = {
    { static_cast<std::uint32_t>(0x0a800000 + server.m_numericId) }, 8080
  };
  server.m_zone = aZone;
  server.m_slots = 2;
  return server;
}

Fact
ServerFact(const registry::Server& aServer, std::uint64_t aRevision)
{
  return { FactKind::Server, aServer.m_id, aRevision, aServer };
}

Fact
RemovedFact(FactKind aKind, const std::string& aName, std::uint64_t aRevision)
{
  return { aKind, aName, aRevision, registry::Removed{} };
}

Fact
ZoneOutFact(const std::string& aZone, std::uint64_t aRevision)
{
  return { FactKind::ZoneOut, aZone, aRevision, registry::ZoneOut{} };
}

Fact
ConfigurationFact(std::uint64_t aVersion, std::uint64_t aRevision)
{
  registry::Configuration configuration;
  configuration.m_version = aVersion;
  configuration.m_routes = {
    { "r", *base::ParseEndpoint("198.18.0.1:443"), { { "desk", 1 } } }
  };
  configuration.m_services = { { "desk", 0 } };
  configuration.m_idleTimeout = std::chrono::seconds(15);
  return { FactKind::Configuration, "", aRevision, configuration };
}

} // namespace wasabiloom::tests
