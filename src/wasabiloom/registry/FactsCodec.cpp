#include "wasabiloom/registry/FactsCodec.h"

#include <nlohmann/json.hpp>

namespace wasabiloom::registry {

namespace {

using nlohmann::json;

constexpr int kFormat = 1;

json
Write(const base::Endpoint& aEndpoint)
{
  return base::Pack(aEndpoint);
}

base::Endpoint
ReadEndpoint(const json& aValue)
{
  return base::UnpackEndpoint(aValue.get<std::uint64_t>());
}

json
Write(const Configuration& aConfiguration)
{
  json routes = json::array();
  for (const Route& route : aConfiguration.m_routes) {
    json shares = json::array();
    for (const ServiceShare& share : route.m_shares) {
      shares.push_back({ share.m_service, share.m_weight });
    }
    routes.push_back({ route.m_name, Write(route.m_address), shares });
  }
  json services = json::array();
  for (const ServiceRules& service : aConfiguration.m_services) {
    services.push_back({ service.m_name, service.m_coldFlowsPerSecond });
  }
  return { { "version", aConfiguration.m_version },
           { "routes", routes },
           { "services", services },
           { "idle_ns", aConfiguration.m_idleTimeout.count() } };
}

Configuration
ReadConfiguration(const json& aValue)
{
  Configuration configuration;
  configuration.m_version = aValue.at("version").get<std::uint64_t>();
  for (const json& item : aValue.at("routes")) {
    Route route;
    route.m_name = item.at(0).get<std::string>();
    route.m_address = ReadEndpoint(item.at(1));
    for (const json& share : item.at(2)) {
      route.m_shares.push_back(
        { share.at(0).get<std::string>(), share.at(1).get<std::uint32_t>() });
    }
    configuration.m_routes.push_back(std::move(route));
  }
  for (const json& item : aValue.at("services")) {
    configuration.m_services.push_back(
      { item.at(0).get<std::string>(), item.at(1).get<double>() });
  }
  configuration.m_idleTimeout =
    base::Duration(aValue.at("idle_ns").get<std::int64_t>());
  return configuration;
}

json
Write(const Server& aServer)
{
  return { { "id", aServer.m_id },
           { "number", aServer.m_number },
           { "born", aServer.m_born },
           { "service", aServer.m_service },
           { "address", Write(aServer.m_address) },
           { "zone", aServer.m_zone },
           { "slots", aServer.m_slots },
           { "draining", aServer.m_state == ServerState::Draining },
           { "cold_ns", aServer.m_coldFor.count() } };
}

Server
ReadServer(const json& aValue)
{
  Server server;
  server.m_id = aValue.at("id").get<std::string>();
  server.m_number = aValue.at("number").get<std::uint64_t>();
  server.m_born = aValue.at("born").get<std::uint64_t>();
  server.m_service = aValue.at("service").get<std::string>();
  server.m_address = ReadEndpoint(aValue.at("address"));
  server.m_zone = aValue.at("zone").get<std::string>();
  server.m_slots = aValue.at("slots").get<std::uint32_t>();
  server.m_state = aValue.at("draining").get<bool>() ? ServerState::Draining
                                                     : ServerState::Ready;
  server.m_coldFor = base::Duration(aValue.at("cold_ns").get<std::int64_t>());
  return server;
}

json
Write(const Fact& aFact)
{
  json content;
  if (const auto* configuration =
        std::get_if<Configuration>(&aFact.m_content)) {
    content = Write(*configuration);
  } else if (const auto* server = std::get_if<Server>(&aFact.m_content)) {
    content = Write(*server);
  }
  return { { "kind", static_cast<int>(aFact.m_kind) },
           { "name", aFact.m_name },
           { "revision", aFact.m_revision },
           { "content", content } };
}

Fact
ReadFact(const json& aValue)
{
  const int kind = aValue.at("kind").get<int>();
  Fact fact;
  fact.m_name = aValue.at("name").get<std::string>();
  fact.m_revision = aValue.at("revision").get<std::uint64_t>();
  const json& content = aValue.at("content");
  if (kind == static_cast<int>(FactKind::Configuration)) {
    fact.m_kind = FactKind::Configuration;
    fact.m_content = ReadConfiguration(content);
  } else if (kind == static_cast<int>(FactKind::Server)) {
    fact.m_kind = FactKind::Server;
    fact.m_content = ReadServer(content);
  } else if (kind == static_cast<int>(FactKind::ZoneOut)) {
    fact.m_kind = FactKind::ZoneOut;
    fact.m_content = ZoneOut{};
  } else {
    throw std::invalid_argument("unknown kind of fact");
  }
  return fact;
}

} // namespace

std::string
EncodeFacts(const Page& aPage)
{
  json facts = json::array();
  for (const Fact& fact : aPage.m_facts) {
    facts.push_back(Write(fact));
  }
  const json page = { { "format", kFormat },
                      { "revision", aPage.m_revision },
                      { "facts", facts } };
  std::string bytes;
  json::to_cbor(page, bytes);
  return bytes;
}

base::Result<Page>
DecodeFacts(std::string_view aBytes)
{
  try {
    const json page = json::from_cbor(aBytes.begin(), aBytes.end());
    if (page.at("format").get<int>() != kFormat) {
      return base::Fail(base::ResultCode::PeerMessageMalformed,
                        "facts of another format");
    }
    Page read;
    read.m_revision = page.at("revision").get<std::uint64_t>();
    for (const json& fact : page.at("facts")) {
      read.m_facts.push_back(ReadFact(fact));
    }
    return read;
  } catch (const std::exception& failure) {
    return base::Fail(base::ResultCode::PeerMessageMalformed, failure.what());
  }
}

} // namespace wasabiloom::registry
