#include "wasabiloom/fleet/LoadReportCodec.h"

#include "generated/fleet.pb.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

namespace wasabiloom::fleet {

namespace {

namespace wire = fleet_wire;
using placing::GroupMeans;
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

/// Number of words that an item takes in each list.
constexpr int kRequestWords = 2;
constexpr int kMeanWords = 1 + placing::kMeanLevels;
constexpr int kSampleWords = 2;
constexpr int kZoneWords = 5;

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
    m_out.set_reporters(aReport.m_learned.m_reporters);
    CollectServices(aReport);
    for (const GroupRequests& group : aReport.m_load.m_requests) {
      m_out.add_requests(NumberOf(group.m_group));
      m_out.add_requests(InUnits(group.m_requests));
    }
    for (const GroupMeans& group : aReport.m_learned.m_means) {
      m_out.add_means(NumberOf(group.m_group));
      for (const double mean : group.m_means) {
        m_out.add_means(InUnits(mean));
      }
    }
    for (const ServerSample& server : aReport.m_load.m_servers) {
      m_out.add_tokens(server.m_token);
      m_out.add_samples(InUnits(server.m_latency, kLatencyUnit));
      m_out.add_samples(std::min(server.m_responses, kMaxResponses) * 2 +
                        (server.m_isFailing ? 1 : 0));
    }
    for (const ZoneRequests& zone : aReport.m_learned.m_zones) {
      m_out.add_zones(PlaceOf(zone.m_sourceZone, *m_message.mutable_zones()));
      m_out.add_zones(NumberOf(zone.m_group));
      m_out.add_zones(InUnits(zone.m_requestsPerHost));
      m_out.add_zones(zone.m_reporters);
      m_out.add_zones(InUnits(zone.m_age, kAgeUnit));
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
    for (const GroupMeans& group : aReport.m_learned.m_means) {
      collect(group.m_group);
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

  wire::Message& m_message;
  wire::LoadReport& m_out;
};

/// Reads the parts of one report.
class Reader
{
public:
  explicit Reader(const wire::Message& aMessage)
    : m_message(aMessage)
    , m_in(aMessage.load())
  {
  }

  LoadReport Read() const
  {
    Require(m_in.services_size() <= kMaxServices, "too many services");
    LoadReport report;
    report.m_sequence = m_in.sequence();
    report.m_learned.m_reporters = m_in.reporters();
    ReadItems<kRequestWords>(
      m_in.requests(), placing::kMaxGroupsPerHost, [&](const auto& aWords) {
        report.m_load.m_requests.push_back(
          { GroupOf(aWords[0]), Requests(aWords[1]) });
      });
    ReadItems<kMeanWords>(
      m_in.means(), placing::kMaxGroupsPerHost, [&](const auto& aWords) {
        GroupMeans means{ GroupOf(aWords[0]), {} };
        std::transform(
          aWords.begin() + 1, aWords.end(), means.m_means.begin(), Requests);
        report.m_learned.m_means.push_back(std::move(means));
      });
    Require(m_in.samples_size() == m_in.tokens_size() * kSampleWords,
            "load report has more or fewer samples than servers");
    int next = 0;
    ReadItems<kSampleWords>(
      m_in.samples(), placing::kMaxServersPerReport, [&](const auto& aWords) {
        report.m_load.m_servers.push_back({ m_in.tokens(next++),
                                            aWords[0] * kLatencyUnit,
                                            aWords[1] / 2,
                                            aWords[1] % 2 == 1 });
      });
    ReadItems<kZoneWords>(
      m_in.zones(), placing::kMaxZoneRequests, [&](const auto& aWords) {
        report.m_learned.m_zones.push_back({ ZoneOf(aWords[0]),
                                             GroupOf(aWords[1]),
                                             Requests(aWords[2]),
                                             aWords[3],
                                             aWords[4] * kAgeUnit });
      });
    return report;
  }

private:
  /// Calls `aTake` with the words of each item.
  template<int kWords, typename Words, typename Take>
  static void ReadItems(const Words& aWords,
                        std::size_t aMaxItems,
                        const Take& aTake)
  {
    Require(aWords.size() % kWords == 0, "load report has a part of an item");
    Require(static_cast<std::size_t>(aWords.size() / kWords) <= aMaxItems,
            "load report has too many items");
    for (int i = 0; i < aWords.size(); i += kWords) {
      std::array<std::uint32_t, kWords> item{};
      std::copy_n(aWords.begin() + i, kWords, item.begin());
      aTake(item);
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
  return Reader(aMessage).Read();
}

} // namespace wasabiloom::fleet
