#include "wasabiloom/fleet/LoadReportCodec.h"

#include "generated/fleet.pb.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace wasabiloom::fleet {

namespace {

namespace wire = fleet_wire;
using placing::ForwardedLoad;
using placing::GroupRequests;
using placing::ServerGroup;
using placing::ServerSample;
using placing::ZoneRequests;

constexpr double kRequestUnits = 100;
constexpr base::Duration kAgeUnit = std::chrono::milliseconds(10);
constexpr base::Duration kLatencyUnit = std::chrono::microseconds(100);
constexpr std::uint32_t kMaxResponses = 1U << 30U;

/// Number of services that one report may name.
constexpr int kMaxServices = 64;

std::uint32_t
InUnits(double aRequests)
{
  return static_cast<std::uint32_t>(std::lround(
    std::clamp(aRequests, 0.0, placing::kMaxRequests) * kRequestUnits));
}

/// Rounds up, so that an age is never understated.
std::uint32_t
InUnits(base::Duration aSpan, base::Duration aUnit)
{
  const base::Duration span =
    std::clamp(aSpan, base::Duration::zero(), placing::kMaxReportedLatency);
  return static_cast<std::uint32_t>((span + aUnit - base::Duration(1)) / aUnit);
}

double
Requests(std::uint32_t aUnits)
{
  return aUnits / kRequestUnits;
}

void
Require(bool aHolds, const char* aWhat)
{
  if (!aHolds) {
    throw std::invalid_argument(aWhat);
  }
}

/// Returns the place of `aName` in `aNames`; appends it if it is missing.
template<typename Names>
std::uint32_t
PlaceOf(const std::string& aName, Names& aNames)
{
  const auto found = std::find(aNames.begin(), aNames.end(), aName);
  const auto place = static_cast<std::uint32_t>(found - aNames.begin());
  if (found == aNames.end()) {
    aNames.Add(std::string(aName));
  }
  return place;
}

/// Writes the parts of one report.
class Writer
{
public:
  explicit Writer(wire::Message& aMessage)
    : m_message(aMessage)
    , m_out(*aMessage.mutable_load())
  {
  }

  void Write(const LoadReport& aReport)
  {
    m_out.set_sequence(aReport.m_sequence);
    CollectServices(aReport);
    for (const GroupRequests& group : aReport.m_load.m_requests) {
      m_out.add_groups(NumberOf(group.m_group));
      m_out.add_requests(InUnits(group.m_requests));
    }
    for (const ServerSample& server : aReport.m_load.m_servers) {
      Write(server);
    }
    for (const ForwardedLoad& load : aReport.m_learned.m_hosts) {
      Write(load);
    }
    for (const ZoneRequests& mean : aReport.m_learned.m_zones) {
      Write(mean);
    }
  }

private:
  /// The numbers of groups depend on the number of services.
  void CollectServices(const LoadReport& aReport)
  {
    const auto collect = [&](const ServerGroup& aGroup) {
      PlaceOf(aGroup.m_service, *m_out.mutable_services());
    };
    for (const GroupRequests& group : aReport.m_load.m_requests) {
      collect(group.m_group);
    }
    for (const ForwardedLoad& load : aReport.m_learned.m_hosts) {
      for (const GroupRequests& group : load.m_requests) {
        collect(group.m_group);
      }
    }
    for (const ZoneRequests& mean : aReport.m_learned.m_zones) {
      collect(mean.m_group);
    }
  }

  std::uint32_t NumberOf(const ServerGroup& aGroup)
  {
    const std::uint32_t zone =
      PlaceOf(aGroup.m_zone, *m_message.mutable_zones());
    return zone * static_cast<std::uint32_t>(m_out.services_size()) +
           PlaceOf(aGroup.m_service, *m_out.mutable_services());
  }

  void Write(const ServerSample& aServer)
  {
    m_out.add_tokens(aServer.m_token);
    m_out.add_latencies(InUnits(aServer.m_latency, kLatencyUnit));
    m_out.add_responses(std::min(aServer.m_responses, kMaxResponses) * 2 +
                        (aServer.m_isFailing ? 1 : 0));
  }

  void Write(const ForwardedLoad& aLoad)
  {
    m_out.add_hosts(aLoad.m_host.m_bits);
    m_out.add_host_ages(InUnits(aLoad.m_age, kAgeUnit));
    m_out.add_host_sizes(static_cast<std::uint32_t>(aLoad.m_requests.size()));
    for (const GroupRequests& group : aLoad.m_requests) {
      m_out.add_host_groups(NumberOf(group.m_group));
      m_out.add_host_requests(InUnits(group.m_requests));
    }
  }

  void Write(const ZoneRequests& aMean)
  {
    m_out.add_sources(PlaceOf(aMean.m_sourceZone, *m_message.mutable_zones()));
    m_out.add_source_groups(NumberOf(aMean.m_group));
    m_out.add_source_requests(InUnits(aMean.m_requestsPerHost));
    m_out.add_source_reporters(aMean.m_reporters);
    m_out.add_source_ages(InUnits(aMean.m_age, kAgeUnit));
  }

  wire::Message& m_message;
  wire::LoadReport& m_out;
};

/// Reads the parts of one report. The lists must have passed CheckCounts.
class Reader
{
public:
  explicit Reader(const wire::Message& aMessage)
    : m_message(aMessage)
    , m_in(aMessage.load())
  {
  }

  void CheckCounts() const
  {
    Require(m_in.services_size() <= kMaxServices, "too many services");
    CheckList(
      m_in.groups_size(), { m_in.requests_size() }, placing::kMaxGroupsPerHost);
    CheckList(m_in.tokens_size(),
              { m_in.latencies_size(), m_in.responses_size() },
              placing::kMaxServersPerReport);
    CheckList(m_in.hosts_size(),
              { m_in.host_ages_size(), m_in.host_sizes_size() },
              placing::kMaxForwardedLoads);
    CheckList(m_in.host_groups_size(),
              { m_in.host_requests_size() },
              placing::kMaxForwardedLoads * placing::kMaxGroupsPerHost);
    CheckList(m_in.sources_size(),
              { m_in.source_groups_size(),
                m_in.source_requests_size(),
                m_in.source_reporters_size(),
                m_in.source_ages_size() },
              placing::kMaxZoneRequests);
  }

  LoadReport Read() const
  {
    LoadReport report;
    report.m_sequence = m_in.sequence();
    for (int i = 0; i < m_in.groups_size(); ++i) {
      report.m_load.m_requests.push_back(
        { GroupOf(m_in.groups(i)), Requests(m_in.requests(i)) });
    }
    for (int i = 0; i < m_in.tokens_size(); ++i) {
      report.m_load.m_servers.push_back({ m_in.tokens(i),
                                          m_in.latencies(i) * kLatencyUnit,
                                          m_in.responses(i) / 2,
                                          m_in.responses(i) % 2 == 1 });
    }
    ReadHosts(report.m_learned.m_hosts);
    for (int i = 0; i < m_in.sources_size(); ++i) {
      report.m_learned.m_zones.push_back({ ZoneOf(m_in.sources(i)),
                                           GroupOf(m_in.source_groups(i)),
                                           Requests(m_in.source_requests(i)),
                                           m_in.source_reporters(i),
                                           m_in.source_ages(i) * kAgeUnit });
    }
    return report;
  }

private:
  static void CheckList(int aSize,
                        std::initializer_list<int> aOthers,
                        std::size_t aLimit)
  {
    Require(static_cast<std::size_t>(aSize) <= aLimit,
            "load report has too many items");
    Require(
      std::ranges::all_of(aOthers, [&](int aOther) { return aOther == aSize; }),
      "lists of a load report differ in length");
  }

  void ReadHosts(std::vector<ForwardedLoad>& aHosts) const
  {
    int next = 0;
    for (int i = 0; i < m_in.hosts_size(); ++i) {
      ForwardedLoad load{ { m_in.hosts(i) }, m_in.host_ages(i) * kAgeUnit, {} };
      Require(m_in.host_sizes(i) <=
                static_cast<std::uint32_t>(m_in.host_groups_size() - next),
              "load report lacks the groups of a host");
      const int end = next + static_cast<int>(m_in.host_sizes(i));
      for (; next < end; ++next) {
        load.m_requests.push_back({ GroupOf(m_in.host_groups(next)),
                                    Requests(m_in.host_requests(next)) });
      }
      aHosts.push_back(std::move(load));
    }
  }

  std::string ZoneOf(std::uint32_t aPlace) const
  {
    Require(aPlace < static_cast<std::uint32_t>(m_message.zones_size()),
            "load report has an unknown zone index");
    const std::string& zone = m_message.zones(static_cast<int>(aPlace));
    Require(zone.size() <= placing::kMaxNameBytes, "zone name is too long");
    return zone;
  }

  ServerGroup GroupOf(std::uint32_t aNumber) const
  {
    const auto services = static_cast<std::uint32_t>(m_in.services_size());
    Require(services > 0, "load report names no services");
    const std::string& service =
      m_in.services(static_cast<int>(aNumber % services));
    Require(service.size() <= placing::kMaxNameBytes,
            "service name is too long");
    return { service, ZoneOf(aNumber / services) };
  }

  const wire::Message& m_message;
  const wire::LoadReport& m_in;
};

} // namespace

void
WriteLoadReport(const LoadReport& aReport, wire::Message& aOut)
{
  Writer(aOut).Write(aReport);
}

LoadReport
ReadLoadReport(const wire::Message& aMessage)
{
  const Reader reader(aMessage);
  reader.CheckCounts();
  return reader.Read();
}

} // namespace wasabiloom::fleet
