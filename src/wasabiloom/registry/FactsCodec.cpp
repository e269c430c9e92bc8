#include "wasabiloom/registry/FactsCodec.h"

#include "generated/fleet.pb.h"
#include "wasabiloom/base/Frame.h"

#include <algorithm>
#include <stdexcept>

#include <zstd.h>

namespace wasabiloom::registry {

namespace {

namespace wire = fleet_wire;

/// Version of the message format, stored in the frame.
constexpr std::uint8_t kFormat = 3;

/// Values of the first byte of packed facts: how the remaining bytes are
/// stored.
constexpr char kPlain = 0;
constexpr char kCompressed = 1;

/// Minimum size of a list of facts to compress, in bytes. Compression does not
/// shrink shorter lists.
constexpr std::size_t kCompressFrom = 256;

/// Compression level of zstd. At higher levels the time grows faster than the
/// size shrinks.
constexpr int kLevel = 2;

void
Write(const Route& aRoute, wire::Route& aOut)
{
  aOut.set_name(aRoute.m_name);
  aOut.set_address(base::Pack(aRoute.m_address));
  aOut.set_urgency(kLowestPriority -
                   std::min(aRoute.m_priority, kLowestPriority));
  aOut.set_idempotent(aRoute.m_isIdempotent);
  for (const ServiceShare& share : aRoute.m_shares) {
    wire::Share& out = *aOut.add_shares();
    out.set_service(share.m_service);
    out.set_weight(share.m_weight);
  }
}

Route
Read(const wire::Route& aRoute)
{
  Route route;
  route.m_name = aRoute.name();
  route.m_address = base::UnpackEndpoint(aRoute.address());
  route.m_priority =
    kLowestPriority - std::min(aRoute.urgency(), kLowestPriority);
  route.m_isIdempotent = aRoute.idempotent();
  for (const wire::Share& share : aRoute.shares()) {
    route.m_shares.push_back({ share.service(), share.weight() });
  }
  return route;
}

void
Write(const GlobalConfiguration& aTerms, wire::Terms& aOut)
{
  aOut.set_version(aTerms.m_version);
  for (const ServiceRules& service : aTerms.m_services) {
    wire::ServiceRules& out = *aOut.add_services();
    out.set_name(service.m_name);
    out.set_cold_flows_per_second(service.m_coldFlowsPerSecond);
  }
  aOut.set_idle_ns(aTerms.m_idleTimeout.count());
}

GlobalConfiguration
Read(const wire::Terms& aTerms)
{
  GlobalConfiguration terms;
  terms.m_version = aTerms.version();
  for (const wire::ServiceRules& service : aTerms.services()) {
    terms.m_services.push_back(
      { service.name(), service.cold_flows_per_second() });
  }
  terms.m_idleTimeout = base::Duration(aTerms.idle_ns());
  return terms;
}

Configuration
Read(const wire::Configuration& aConfiguration)
{
  const GlobalConfiguration terms = Read(aConfiguration.terms());
  Configuration configuration{
    terms.m_version, {}, terms.m_services, terms.m_idleTimeout
  };
  for (const wire::Route& route : aConfiguration.routes()) {
    configuration.m_routes.push_back(Read(route));
  }
  return configuration;
}

/// Throws unless `aServer` could be the entry of a server.
void
Check(const Server& aServer)
{
  const bool isNamed = !aServer.m_id.empty() && !aServer.m_service.empty() &&
                       !aServer.m_zone.empty();
  if (!isNamed || aServer.m_slots == 0 || aServer.m_address.m_port == 0 ||
      aServer.m_coldRemaining < base::Duration::zero() ||
      aServer.m_coldRemaining > kMaxColdRemaining) {
    throw std::invalid_argument("entry names no server to use");
  }
}

Server
Read(const wire::Server& aServer, const std::string& aId)
{
  Server server;
  server.m_id = aId;
  server.m_numericId = aServer.number();
  server.m_startId = aServer.born();
  server.m_service = aServer.service();
  server.m_address = base::UnpackEndpoint(aServer.address());
  server.m_zone = aServer.zone();
  server.m_slots = aServer.slots();
  server.m_state =
    aServer.draining() ? ServerState::Draining : ServerState::Ready;
  server.m_coldRemaining = base::Duration(aServer.cold_ns());
  Check(server);
  return server;
}

/// Visitor that writes each kind of content into its field of `m_out`.
struct ContentWriter
{
  wire::Fact& m_out;

  void operator()(const Configuration& aConfiguration) const
  {
    wire::Configuration& out = *m_out.mutable_configuration();
    Write({ aConfiguration.m_version,
            aConfiguration.m_services,
            aConfiguration.m_idleTimeout },
          *out.mutable_terms());
    for (const Route& route : aConfiguration.m_routes) {
      Write(route, *out.add_routes());
    }
  }
  void operator()(const GlobalConfiguration& aTerms) const
  {
    Write(aTerms, *m_out.mutable_terms());
  }
  void operator()(const Route& aRoute) const
  {
    Write(aRoute, *m_out.mutable_route());
  }
  void operator()(const Server& aServer) const
  {
    wire::Server& out = *m_out.mutable_server();
    out.set_number(aServer.m_numericId);
    out.set_born(aServer.m_startId);
    out.set_service(aServer.m_service);
    out.set_address(base::Pack(aServer.m_address));
    out.set_zone(aServer.m_zone);
    out.set_slots(aServer.m_slots);
    out.set_draining(aServer.m_state == ServerState::Draining);
    out.set_cold_ns(aServer.m_coldRemaining.count());
  }
  void operator()(const ZoneOut& /*aZone*/) const { m_out.mutable_zone_out(); }
  void operator()(const MalformedValue& /*aContent*/) const {}
  void operator()(const Removed& /*aContent*/) const
  {
    m_out.mutable_removed();
  }
};

FactContent
ReadContent(const wire::Fact& aFact)
{
  switch (aFact.content_case()) {
    case wire::Fact::kConfiguration:
      return Read(aFact.configuration());
    case wire::Fact::kTerms:
      return Read(aFact.terms());
    case wire::Fact::kRoute:
      return Read(aFact.route());
    case wire::Fact::kServer:
      return Read(aFact.server(), aFact.name());
    case wire::Fact::kZoneOut:
      return ZoneOut{};
    case wire::Fact::kRemoved:
      return Removed{};
    case wire::Fact::CONTENT_NOT_SET:
      break;
  }
  throw std::invalid_argument("fact has no content");
}

/// Returns whether a fact of kind `aKind` can have the content `aContent`.
bool
Fits(FactKind aKind, const FactContent& aContent)
{
  const bool isRemoved = std::holds_alternative<Removed>(aContent);
  switch (aKind) {
    case FactKind::Configuration:
      return std::holds_alternative<Configuration>(aContent) ||
             std::holds_alternative<GlobalConfiguration>(aContent);
    case FactKind::Server:
      return isRemoved || std::holds_alternative<Server>(aContent);
    case FactKind::ZoneOut:
      return isRemoved || std::holds_alternative<ZoneOut>(aContent);
    case FactKind::Route:
      return isRemoved || std::holds_alternative<Route>(aContent);
    case FactKind::Other:
      break;
  }
  return false;
}

/// Returns the fact in `aFact`; one that can't be read is malformed, so that it
/// does not hide the others.
Fact
Read(const wire::Fact& aFact, std::uint64_t aEpoch)
{
  if (aFact.epochs_back() > aEpoch) {
    throw std::invalid_argument("fact has no epoch");
  }
  if (aFact.kind() >= static_cast<std::uint32_t>(FactKind::Other)) {
    return { FactKind::Other, "", 0, MalformedValue{ "unknown kind" } };
  }
  Fact fact{ static_cast<FactKind>(aFact.kind()),
             aFact.name(),
             { aEpoch - aFact.epochs_back(), aFact.revision() },
             MalformedValue{ "content does not match the kind" } };
  try {
    FactContent content = ReadContent(aFact);
    if (Fits(fact.m_kind, content)) {
      fact.m_content = std::move(content);
    }
  } catch (const std::invalid_argument& failure) {
    fact.m_content = MalformedValue{ failure.what() };
  }
  return fact;
}

std::string
Compress(std::string_view aPlain)
{
  std::string out(ZSTD_compressBound(aPlain.size()), '\0');
  const std::size_t size =
    ZSTD_compress(out.data(), out.size(), aPlain.data(), aPlain.size(), kLevel);
  out.resize(ZSTD_isError(size) != 0U ? 0 : size);
  return out;
}

std::string
Decompress(std::string_view aCompressed)
{
  const auto size =
    ZSTD_getFrameContentSize(aCompressed.data(), aCompressed.size());
  if (size > kMaxUnpackedBytes) {
    throw std::invalid_argument(
      "decompressed size of the facts is unknown or too large");
  }
  std::string out(size, '\0');
  const std::size_t got = ZSTD_decompress(
    out.data(), out.size(), aCompressed.data(), aCompressed.size());
  if (ZSTD_isError(got) != 0U || got != size) {
    throw std::invalid_argument("facts cannot be decompressed");
  }
  return out;
}

std::vector<Fact>
UnpackFacts(std::string_view aPacked, std::uint64_t aEpoch)
{
  if (aPacked.empty() || aPacked.front() > kCompressed) {
    throw std::invalid_argument("facts have an unknown compression type");
  }
  const std::string_view body = aPacked.substr(1);
  wire::FactList list;
  const bool isRead =
    aPacked.front() == kCompressed
      ? list.ParseFromString(Decompress(body))
      : list.ParseFromArray(body.data(), static_cast<int>(body.size()));
  if (!isRead) {
    throw std::invalid_argument("list of facts cannot be parsed");
  }
  std::vector<Fact> facts;
  facts.reserve(static_cast<std::size_t>(list.facts_size()));
  for (const wire::Fact& fact : list.facts()) {
    facts.push_back(Read(fact, aEpoch));
  }
  return facts;
}

} // namespace

std::string
PackFacts(const std::vector<Fact>& aFacts, std::uint64_t aEpoch)
{
  wire::FactList list;
  for (const Fact& fact : aFacts) {
    wire::Fact& out = *list.add_facts();
    out.set_kind(static_cast<std::uint32_t>(fact.m_kind));
    out.set_name(fact.m_name);
    out.set_revision(fact.m_revision.m_number);
    out.set_epochs_back(aEpoch - std::min(fact.m_revision.m_epoch, aEpoch));
    std::visit(ContentWriter{ out }, fact.m_content);
  }
  const std::string plain = list.SerializeAsString();
  if (plain.size() >= kCompressFrom) {
    const std::string compressed = Compress(plain);
    if (!compressed.empty()) {
      return std::string(1, kCompressed).append(compressed);
    }
  }
  return std::string(1, kPlain).append(plain);
}

std::string
EncodeUpdate(const RegistryUpdate& aUpdate, std::string_view aPacked)
{
  wire::News message;
  message.set_from(aUpdate.m_fromRevision.m_number);
  message.set_to(aUpdate.m_toRevision.m_number);
  message.set_epoch(aUpdate.m_toRevision.m_epoch);
  message.set_epoch_first(aUpdate.m_epochFirst.m_number);
  message.set_epoch_age_ns(aUpdate.m_epochAge.count());
  message.set_age_ns(aUpdate.m_age.count());
  message.set_facts(aPacked.data(), aPacked.size());
  return base::Seal(kFormat, message.SerializeAsString());
}

std::string
EncodeUpdate(const RegistryUpdate& aUpdate)
{
  return EncodeUpdate(aUpdate,
                      PackFacts(aUpdate.m_facts, aUpdate.m_toRevision.m_epoch));
}

base::Result<RegistryUpdate>
DecodeUpdate(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(body, base::Unseal(kFormat, aBytes));
  try {
    wire::News message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
      throw std::invalid_argument("registry update cannot be parsed");
    }
    if (message.age_ns() < 0 || message.epoch_age_ns() < 0) {
      throw std::invalid_argument("registry update has a negative age");
    }
    const std::uint64_t epoch = message.epoch();
    const bool isWhole = message.from() == 0;
    const bool namesStart = message.epoch_first() > 0;
    return RegistryUpdate{ isWhole ? RegistryRevision{}
                                   : RegistryRevision(epoch, message.from()),
                           { epoch, message.to() },
                           base::Duration(message.age_ns()),
                           UnpackFacts(message.facts(), epoch),
                           namesStart
                             ? RegistryRevision(epoch, message.epoch_first())
                             : RegistryRevision{},
                           base::Duration(message.epoch_age_ns()) };
  } catch (const std::exception& failure) {
    return base::Fail(base::ResultCode::PeerMessageMalformed, failure.what());
  }
}

} // namespace wasabiloom::registry
