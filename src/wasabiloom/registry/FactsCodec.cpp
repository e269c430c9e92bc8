#include "wasabiloom/registry/FactsCodec.h"

#include <nlohmann/json.hpp>

namespace wasabiloom::registry {

namespace {

using nlohmann::json;

constexpr int kFormat = 2;

/// Stands for content that is no longer there.
constexpr bool kRemoved = false;

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
  return { aServer.m_id,
           aServer.m_number,
           aServer.m_born,
           aServer.m_service,
           Write(aServer.m_address),
           aServer.m_zone,
           aServer.m_slots,
           aServer.m_state == ServerState::Draining,
           aServer.m_coldFor.count() };
}

Server
ReadServer(const json& aValue)
{
  Server server;
  std::size_t at = 0;
  server.m_id = aValue.at(at++).get<std::string>();
  server.m_number = aValue.at(at++).get<std::uint64_t>();
  server.m_born = aValue.at(at++).get<std::uint64_t>();
  server.m_service = aValue.at(at++).get<std::string>();
  server.m_address = ReadEndpoint(aValue.at(at++));
  server.m_zone = aValue.at(at++).get<std::string>();
  server.m_slots = aValue.at(at++).get<std::uint32_t>();
  server.m_state =
    aValue.at(at++).get<bool>() ? ServerState::Draining : ServerState::Ready;
  server.m_coldFor = base::Duration(aValue.at(at++).get<std::int64_t>());
  return server;
}

FactContent
ReadServerContent(const json& aValue)
{
  if (aValue == kRemoved) {
    return Removed{};
  }
  return ReadServer(aValue);
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
  } else if (std::holds_alternative<Removed>(aFact.m_content)) {
    content = kRemoved;
  }
  return {
    static_cast<int>(aFact.m_kind), aFact.m_name, aFact.m_revision, content
  };
}

Fact
ReadFact(const json& aValue)
{
  const int kind = aValue.at(0).get<int>();
  Fact fact;
  fact.m_name = aValue.at(1).get<std::string>();
  fact.m_revision = aValue.at(2).get<std::uint64_t>();
  const json& content = aValue.at(3);
  if (kind == static_cast<int>(FactKind::Configuration)) {
    fact.m_kind = FactKind::Configuration;
    fact.m_content = ReadConfiguration(content);
  } else if (kind == static_cast<int>(FactKind::Server)) {
    fact.m_kind = FactKind::Server;
    fact.m_content = ReadServerContent(content);
  } else if (kind == static_cast<int>(FactKind::ZoneOut)) {
    fact.m_kind = FactKind::ZoneOut;
    fact.m_content =
      content == kRemoved ? FactContent(Removed{}) : FactContent(ZoneOut{});
  } else {
    throw std::invalid_argument("unknown kind of fact");
  }
  return fact;
}

} // namespace

std::string
EncodeNews(const News& aNews)
{
  json facts = json::array();
  for (const Fact& fact : aNews.m_facts) {
    facts.push_back(Write(fact));
  }
  const json news = {
    kFormat, aNews.m_from, aNews.m_to, aNews.m_age.count(), facts
  };
  std::string bytes;
  json::to_cbor(news, bytes);
  return bytes;
}

base::Result<News>
DecodeNews(std::string_view aBytes)
{
  try {
    const json news = json::from_cbor(aBytes.begin(), aBytes.end());
    if (news.at(0).get<int>() != kFormat) {
      return base::Fail(base::ResultCode::PeerMessageMalformed,
                        "facts of another format");
    }
    News read;
    read.m_from = news.at(1).get<std::uint64_t>();
    read.m_to = news.at(2).get<std::uint64_t>();
    read.m_age = base::Duration(news.at(3).get<std::int64_t>());
    for (const json& fact : news.at(4)) {
      read.m_facts.push_back(ReadFact(fact));
    }
    return read;
  } catch (const std::exception& failure) {
    return base::Fail(base::ResultCode::PeerMessageMalformed, failure.what());
  }
}

} // namespace wasabiloom::registry
