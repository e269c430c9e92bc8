/// Stand-in for callers: holds feeds open and sends requests through the
/// fabric until it is stopped, then writes what became of them.

#include "Support.h"

#include "wasabiloom/base/Hex.h"
#include "wasabiloom/daemon/SignalWatch.h"
#include "wasabiloom/packet/IpWriter.h"
#include "wasabiloom/wire/EnvelopeCodec.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QSocketNotifier>
#include <QTimer>

#include <map>
#include <random>
#include <set>
#include <sstream>
#include <vector>

namespace {

namespace options = boost::program_options;
namespace base = wasabiloom::base;
namespace packet = wasabiloom::packet;
namespace request = wasabiloom::request;
namespace wire = wasabiloom::wire;

using wasabiloom::daemon::Received;
using wasabiloom::daemon::UdpSocket;
using Milliseconds = std::int64_t;

constexpr int kTickMs = 5;
constexpr Milliseconds kFeedInterval = 100;
constexpr Milliseconds kOpenRetry = 250;
constexpr Milliseconds kStallLimit = 3000;
constexpr Milliseconds kRequestRetry = 400;
constexpr Milliseconds kDeadline = 2000;
constexpr Milliseconds kGrace = 500;
constexpr std::uint16_t kFirstFeedPort = 10000;
constexpr std::uint16_t kRequestPort = 9000;

/// One long flow.
struct Feed
{
  packet::FlowKey m_flow;
  bool m_open = false;
  bool m_broken = false;
  std::string m_target;
  Milliseconds m_nextAt = 0;
  Milliseconds m_heardAt = 0;
};

/// One request in progress.
struct Pending
{
  request::Envelope m_envelope;
  base::Endpoint m_service;
  Milliseconds m_since = 0;
  Milliseconds m_nextAt = 0;
  std::set<std::uint32_t> m_parts;
};

struct Totals
{
  std::uint64_t m_asked = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_unknown = 0;
  std::uint64_t m_silent = 0;
  std::uint64_t m_mismatched = 0;
  std::vector<std::string> m_refusedIds;
};

class Caller
{
public:
  Caller(const base::Ipv4Address& aAddress,
         const base::Endpoint& aFabric,
         UdpSocket& aSocket,
         std::uint64_t aSeed)
    : m_address(aAddress)
    , m_fabric(aFabric)
    , m_socket(aSocket)
    , m_random(aSeed)
  {
    m_clock.start();
  }

  void AddFeeds(const base::Endpoint& aService, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Feed feed;
      const auto port = static_cast<std::uint16_t>(kFirstFeedPort + i);
      feed.m_flow = { { m_address, port },
                      { packet::Protocol::Tcp, aService } };
      feed.m_nextAt = Milliseconds{ i } * kTickMs;
      m_feeds[port] = feed;
    }
  }

  void AddRequests(const base::Endpoint& aService,
                   bool aRepeatable,
                   double aPerSecond)
  {
    m_streams.push_back({ aService, aRepeatable, aPerSecond, 0 });
  }

  void OnTick()
  {
    const Milliseconds now = m_clock.elapsed();
    for (auto& [port, feed] : m_feeds) {
      StepFeed(feed, now);
    }
    for (Stream& stream : m_streams) {
      StepStream(stream, now);
    }
    StepPending(now);
    m_socket.Flush();
  }

  void OnReadable()
  {
    for (const Received& datagram : m_socket.Receive()) {
      const packet::ParsedPacket parsed = packet::ParsePacket(datagram.m_bytes);
      if (parsed.m_code != base::ResultCode::Ok) {
        continue;
      }
      if (parsed.m_view.m_flow.m_service.m_protocol == packet::Protocol::Tcp) {
        OnFeedReply(parsed.m_view);
      } else {
        OnRequestReply(parsed.m_view.m_payload);
      }
    }
  }

  void StopAsking() { m_asking = false; }
  bool HasPending() const { return !m_pending.empty(); }

  void CloseFeeds()
  {
    for (const auto& [port, feed] : m_feeds) {
      SendFeed(feed, packet::TcpKind::Close);
    }
  }

  std::string Report() const
  {
    std::uint64_t opened = 0;
    std::uint64_t broken = 0;
    for (const auto& [port, feed] : m_feeds) {
      opened += feed.m_open ? 1 : 0;
      broken += feed.m_broken ? 1 : 0;
    }
    std::ostringstream text;
    text << "caller feeds " << m_feeds.size() << " opened " << opened
         << " broken " << broken << " asked " << m_totals.m_asked
         << " answered " << m_totals.m_answered << " refused "
         << m_totals.m_refused << " unknown " << m_totals.m_unknown
         << " silent " << m_totals.m_silent << " mismatched "
         << m_totals.m_mismatched << "\n";
    for (const std::string& id : m_totals.m_refusedIds) {
      text << "refused " << id << "\n";
    }
    return text.str();
  }

private:
  struct Stream
  {
    base::Endpoint m_service;
    bool m_repeatable = false;
    double m_perSecond = 0;
    double m_sent = 0;
  };

  void SendFeed(const Feed& aFeed, packet::TcpKind aKind)
  {
    const auto bytes = packet::WriteTcp(aFeed.m_flow.m_caller,
                                        aFeed.m_flow.m_service.m_endpoint,
                                        aKind,
                                        standins::AsBytes("reading"));
    m_socket.Send(standins::AsText(bytes), m_fabric);
  }

  void StepFeed(Feed& aFeed, Milliseconds aNow)
  {
    if (aNow < aFeed.m_nextAt || aFeed.m_broken) {
      return;
    }
    if (aFeed.m_open && aNow - aFeed.m_heardAt > kStallLimit) {
      aFeed.m_broken = true;
      return;
    }
    aFeed.m_nextAt = aNow + (aFeed.m_open ? kFeedInterval : kOpenRetry);
    SendFeed(aFeed,
             aFeed.m_open ? packet::TcpKind::Data : packet::TcpKind::Open);
  }

  void OnFeedReply(const packet::PacketView& aView)
  {
    const auto found = m_feeds.find(aView.m_flow.m_service.m_endpoint.m_port);
    if (found == m_feeds.end()) {
      return;
    }
    Feed& feed = found->second;
    const std::string target(standins::AsText(aView.m_payload));
    if (aView.m_closes) {
      feed.m_broken |= feed.m_open;
      return;
    }
    if (!feed.m_open) {
      feed.m_open = true;
      feed.m_target = target;
    }
    feed.m_broken |= feed.m_target != target;
    feed.m_heardAt = m_clock.elapsed();
  }

  void StepStream(Stream& aStream, Milliseconds aNow)
  {
    constexpr double kMillisecondsPerSecond = 1000;
    const double due =
      aStream.m_perSecond * static_cast<double>(aNow) / kMillisecondsPerSecond;
    while (aStream.m_sent < due) {
      aStream.m_sent += 1;
      if (m_asking) {
        Ask(aStream, aNow);
      }
    }
  }

  std::string NewId()
  {
    std::string id;
    for (std::size_t i = 0; i < request::kRequestIdBytes; ++i) {
      id += static_cast<char>(m_random());
    }
    return id;
  }

  void Ask(const Stream& aStream, Milliseconds aNow)
  {
    Pending pending;
    pending.m_envelope.m_id = NewId();
    pending.m_envelope.m_repeatable = aStream.m_repeatable;
    pending.m_envelope.m_body =
      (aStream.m_repeatable ? "repeatable-" : "once-") +
      base::ToHex(pending.m_envelope.m_id);
    pending.m_service = aStream.m_service;
    pending.m_since = aNow;
    ++m_totals.m_asked;
    m_pending[pending.m_envelope.m_id] = pending;
  }

  void StepPending(Milliseconds aNow)
  {
    for (auto item = m_pending.begin(); item != m_pending.end();) {
      Pending& pending = item->second;
      if (aNow - pending.m_since > kDeadline + kGrace) {
        ++m_totals.m_silent;
        item = m_pending.erase(item);
        continue;
      }
      const Milliseconds left = kDeadline - (aNow - pending.m_since);
      if (aNow >= pending.m_nextAt && left > 0) {
        pending.m_nextAt = aNow + kRequestRetry;
        pending.m_envelope.m_timeout = std::chrono::milliseconds(left);
        SendRequest(pending);
      }
      ++item;
    }
  }

  void SendRequest(const Pending& aPending)
  {
    const std::string payload = wire::EncodeEnvelope(aPending.m_envelope);
    const auto bytes = packet::WriteUdp({ m_address, kRequestPort },
                                        aPending.m_service,
                                        standins::AsBytes(payload));
    m_socket.Send(standins::AsText(bytes), m_fabric);
  }

  void OnRequestReply(std::span<const std::byte> aPayload)
  {
    base::Handle(
      [&]() -> base::Result<void> {
        BOOST_LEAF_AUTO(reply, wire::DecodeEnvelope(aPayload));
        Settle(reply);
        return {};
      },
      [](const base::Problem&) {});
  }

  void Settle(const request::Envelope& aReply)
  {
    const auto found = m_pending.find(aReply.m_id);
    if (found == m_pending.end()) {
      return;
    }
    Pending& pending = found->second;
    switch (aReply.m_kind) {
      case request::EnvelopeKind::Answer:
        if (aReply.m_body != pending.m_envelope.m_body) {
          ++m_totals.m_mismatched;
        }
        pending.m_parts.insert(aReply.m_partIndex);
        if (pending.m_parts.size() < aReply.m_partCount) {
          return;
        }
        ++m_totals.m_answered;
        break;
      case request::EnvelopeKind::Refusal:
        ++m_totals.m_refused;
        m_totals.m_refusedIds.push_back(pending.m_envelope.m_body);
        break;
      case request::EnvelopeKind::UnknownOutcome:
        ++m_totals.m_unknown;
        break;
      default:
        return;
    }
    m_pending.erase(found);
  }

  base::Ipv4Address m_address;
  base::Endpoint m_fabric;
  UdpSocket& m_socket;
  std::mt19937_64 m_random;
  QElapsedTimer m_clock;
  std::map<std::uint16_t, Feed> m_feeds;
  std::vector<Stream> m_streams;
  std::map<std::string, Pending> m_pending;
  bool m_asking = true;
  Totals m_totals;
};

int
Serve(int aCount, char** aWords)
{
  const QCoreApplication application(aCount, aWords);
  options::options_description known("standin_caller");
  const auto text = [] { return options::value<std::string>()->required(); };
  const auto number = [](double aDefault) {
    return options::value<double>()->default_value(aDefault);
  };
  known.add_options()("listen", text(), "own address and return port")(
    "fabric", text(), "A.B.C.D:PORT")("report", text(), "file to write")(
    "feed-service", text(), "service of the feeds")(
    "feeds", number(0), "feeds held open")(
    "repeatable-service", text(), "service asked repeatably")(
    "repeatable-rate", number(0), "requests a second")(
    "once-service", text(), "service asked at most once")(
    "once-rate", number(0), "requests a second")(
    "seed", number(1), "random seed");
  const standins::Options chosen(aCount, aWords, known);
  const base::Endpoint listen = chosen.Address("listen");
  const auto socket = standins::OpenUdp(listen);
  Caller caller(listen.m_address,
                chosen.Address("fabric"),
                *socket,
                static_cast<std::uint64_t>(chosen.Number("seed")));
  caller.AddFeeds(chosen.Address("feed-service"),
                  static_cast<int>(chosen.Number("feeds")));
  caller.AddRequests(chosen.Address("repeatable-service"),
                     true,
                     chosen.Number("repeatable-rate"));
  caller.AddRequests(
    chosen.Address("once-service"), false, chosen.Number("once-rate"));
  const QSocketNotifier notifier(socket->Descriptor(), QSocketNotifier::Read);
  QObject::connect(
    &notifier, &QSocketNotifier::activated, [&] { caller.OnReadable(); });
  QTimer tick;
  bool stopping = false;
  const wasabiloom::daemon::SignalWatch signals([&] {
    stopping = true;
    caller.StopAsking();
  });
  QObject::connect(&tick, &QTimer::timeout, [&] {
    caller.OnTick();
    if (stopping && !caller.HasPending()) {
      QCoreApplication::quit();
    }
  });
  tick.start(kTickMs);
  QCoreApplication::exec();
  caller.CloseFeeds();
  standins::WriteFileOrThrow(chosen.Text("report"), caller.Report());
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  return standins::RunMain("standin_caller", [&] { return Serve(argc, argv); });
}
