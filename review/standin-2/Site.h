/// A small deployment on loopback for the cases of this review: the platform's
/// store, its routers, targets and requesters as stand-ins in this process, and
/// the project's hosts as processes of their own.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace site {

// ------------------------------------------------------------------ basics

inline double
Now()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
    .count();
}

inline std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

struct Address
{
  std::uint32_t m_ip = 0;
  std::uint16_t m_port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;

  std::string Ip() const
  {
    in_addr in{ htonl(m_ip) };
    char text[INET_ADDRSTRLEN];
    return inet_ntop(AF_INET, &in, text, sizeof(text));
  }
  std::string Text() const { return Ip() + ":" + std::to_string(m_port); }
  sockaddr_in Native() const
  {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(m_ip);
    out.sin_port = htons(m_port);
    return out;
  }
};

/// 127.NET.B.C; NET is drawn for each run.
inline int g_net = 80;

inline std::uint32_t
Ip(int aB, int aC)
{
  return (127U << 24) | (static_cast<std::uint32_t>(g_net) << 16) |
         (static_cast<std::uint32_t>(aB) << 8) | static_cast<std::uint32_t>(aC);
}

inline std::mt19937_64&
Random()
{
  static std::mt19937_64 random(std::random_device{}());
  return random;
}

inline double
Uniform(double aFrom, double aTo)
{
  return std::uniform_real_distribution<double>(aFrom, aTo)(Random());
}

/// The record of the run, and how a run that could not be played ends.
class Record
{
public:
  static Record& The()
  {
    static Record record;
    return record;
  }
  void Open(const std::string& aPath) { m_file = std::fopen(aPath.c_str(), "w"); }
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    va_list words;
    va_start(words, aFormat);
    std::fprintf(m_file, "%9.3f ", Now());
    std::vfprintf(m_file, aFormat, words);
    std::fputc('\n', m_file);
    va_end(words);
    std::fflush(m_file);
  }

private:
  std::FILE* m_file = stderr;
};

struct CannotRun
{
  std::string m_why;
};

// -------------------------------------------------------------- event loop

class Loop
{
public:
  static Loop& The()
  {
    static Loop loop;
    return loop;
  }
  void Watch(int aDescriptor, short aEvents, std::function<void(short)> aOn)
  {
    m_watched[aDescriptor] = { aEvents, std::move(aOn) };
  }
  void Drop(int aDescriptor) { m_watched.erase(aDescriptor); }
  void At(double aTime, std::function<void()> aDo)
  {
    m_timers.emplace(aTime, std::move(aDo));
  }
  void After(double aSpan, std::function<void()> aDo)
  {
    At(Now() + aSpan, std::move(aDo));
  }
  /// Runs until `aUntil`, or until `aDone` says so.
  void Run(double aUntil, const std::function<bool()>& aDone = [] { return false; })
  {
    while (Now() < aUntil && !aDone()) {
      double next = aUntil;
      if (!m_timers.empty()) {
        next = std::min(next, m_timers.begin()->first);
      }
      std::vector<pollfd> polled;
      for (const auto& [descriptor, one] : m_watched) {
        polled.push_back({ descriptor, one.m_events, 0 });
      }
      const int wait =
        std::clamp(static_cast<int>((next - Now()) * 1000), 0, 50);
      poll(polled.data(), polled.size(), wait);
      for (const pollfd& one : polled) {
        const auto found = m_watched.find(one.fd);
        if (one.revents != 0 && found != m_watched.end()) {
          const auto on = found->second.m_on;
          on(one.revents);
        }
      }
      while (!m_timers.empty() && m_timers.begin()->first <= Now()) {
        const auto action = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        action();
      }
    }
  }

private:
  struct One
  {
    short m_events;
    std::function<void(short)> m_on;
  };
  std::map<int, One> m_watched;
  std::multimap<double, std::function<void()>> m_timers;
};

inline int
OpenUdp(const Address& aLocal)
{
  const int descriptor =
    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int size = 4 * 1024 * 1024;
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  const sockaddr_in address = aLocal.Native();
  if (bind(descriptor,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    throw CannotRun{ "UDP " + aLocal.Text() + ": " + std::strerror(errno) };
  }
  return descriptor;
}

inline void
SendUdp(int aDescriptor, const std::string& aBytes, const Address& aTo)
{
  const sockaddr_in address = aTo.Native();
  sendto(aDescriptor,
         aBytes.data(),
         aBytes.size(),
         MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&address),
         sizeof(address));
}

// -------------------------------------------------------------------- JSON

inline std::string
Base64(const std::string& aText)
{
  static const char* digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits <<= 8;
      bits |= i + k < aText.size() ? static_cast<unsigned char>(aText[i + k]) : 0;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k <= aText.size() ? digits[(bits >> (18 - 6 * k)) & 63] : '=';
    }
  }
  return out;
}

// ------------------------------------------------------------------- store

/// The platform's store: linearizable, one revision counter, watches.
class Store
{
public:
  explicit Store(const Address& aLocal)
  {
    m_listener =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = aLocal.Native();
    if (bind(m_listener,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(m_listener, 64) != 0) {
      throw CannotRun{ "TCP " + aLocal.Text() + ": " + std::strerror(errno) };
    }
    Loop::The().Watch(m_listener, POLLIN, [this](short) { Accept(); });
  }

  /// Writes an item; the return is the confirmation.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    const auto known = m_items.find(aKey);
    if (known != m_items.end() && known->second.m_value == aValue) {
      return;
    }
    ++m_revision;
    const std::uint64_t created =
      known == m_items.end() ? m_revision : known->second.m_created;
    m_items[aKey] = { aValue, m_revision, created };
    m_history.push_back({ m_revision, Item(aKey) });
    Record::The().Line("store: %s written, revision %llu",
                       aKey.c_str(),
                       static_cast<unsigned long long>(m_revision));
    Notify();
  }
  void Remove(const std::string& aKey)
  {
    if (m_items.erase(aKey) == 0) {
      return;
    }
    ++m_revision;
    m_history.push_back({ m_revision,
                          "{\"Key\":\"" + aKey + "\",\"Revision\":" +
                            std::to_string(m_revision) + ",\"Removed\":true}" });
    Record::The().Line("store: %s removed, revision %llu",
                       aKey.c_str(),
                       static_cast<unsigned long long>(m_revision));
    Notify();
  }

private:
  struct Value
  {
    std::string m_value;
    std::uint64_t m_revision = 0;
    std::uint64_t m_created = 0;
  };
  struct Change
  {
    std::uint64_t m_revision;
    std::string m_event;
  };
  struct Connection
  {
    std::string m_in;
    bool m_waits = false;
    std::string m_prefix;
    std::uint64_t m_after = 0;
    double m_until = 0;
  };

  std::string Item(const std::string& aKey) const
  {
    const Value& value = m_items.at(aKey);
    return "{\"Key\":\"" + aKey + "\",\"Value\":\"" + Base64(value.m_value) +
           "\",\"Revision\":" + std::to_string(value.m_revision) +
           ",\"CreateRevision\":" + std::to_string(value.m_created) +
           ",\"Lease\":0}";
  }
  void Accept()
  {
    const int peer = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (peer < 0) {
      return;
    }
    const int on = 1;
    setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    m_connections[peer] = {};
    Loop::The().Watch(peer, POLLIN, [this, peer](short) { OnReadable(peer); });
  }
  void Close(int aPeer)
  {
    Loop::The().Drop(aPeer);
    m_connections.erase(aPeer);
    close(aPeer);
  }
  void OnReadable(int aPeer)
  {
    char bytes[8192];
    const ssize_t count = read(aPeer, bytes, sizeof(bytes));
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
      Close(aPeer);
      return;
    }
    if (count < 0) {
      return;
    }
    Connection& connection = m_connections[aPeer];
    connection.m_in.append(bytes, static_cast<std::size_t>(count));
    const std::size_t end = connection.m_in.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    std::istringstream head(connection.m_in);
    connection.m_in.erase(0, end + 4);
    std::string method;
    std::string target;
    head >> method >> target;
    OnRequest(aPeer, target);
  }
  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    std::size_t at = aTarget.find('?');
    while (at != std::string::npos) {
      const std::size_t next = aTarget.find('&', at + 1);
      const std::string one = aTarget.substr(
        at + 1, next == std::string::npos ? next : next - at - 1);
      if (one.starts_with(aName + "=")) {
        std::string out;
        const std::string raw = one.substr(aName.size() + 1);
        for (std::size_t i = 0; i < raw.size(); ++i) {
          if (raw[i] == '%' && i + 2 < raw.size()) {
            out += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
          } else {
            out += raw[i];
          }
        }
        return out;
      }
      at = next;
    }
    return "";
  }
  void OnRequest(int aPeer, const std::string& aTarget)
  {
    const std::string prefix = Query(aTarget, "Prefix");
    const std::string after = Query(aTarget, "after");
    if (aTarget.starts_with("/kv-range")) {
      std::string items;
      std::size_t count = 0;
      bool more = false;
      for (auto one = m_items.upper_bound(after); one != m_items.end(); ++one) {
        if (!one->first.starts_with(prefix)) {
          continue;
        }
        if (count == kPage) {
          more = true;
          break;
        }
        items += (count++ == 0 ? "" : ",") + Item(one->first);
      }
      Reply(aPeer,
            200,
            "{\"items\":[" + items + "],\"HasMore\":" + (more ? "true" : "false") +
              ",\"StoreRevision\":" + std::to_string(m_revision) + "}");
    } else if (aTarget.starts_with("/kv-watch")) {
      Connection& connection = m_connections[aPeer];
      connection.m_waits = true;
      connection.m_prefix = prefix;
      connection.m_after = std::strtoull(after.c_str(), nullptr, 10);
      const double wait =
        std::strtod(Query(aTarget, "WaitMs").c_str(), nullptr) / 1000;
      connection.m_until = Now() + wait;
      const double until = connection.m_until;
      if (!AnswerWatch(aPeer)) {
        Loop::The().At(until, [this, aPeer, until] {
          const auto found = m_connections.find(aPeer);
          if (found != m_connections.end() && found->second.m_waits &&
              found->second.m_until == until) {
            AnswerWatch(aPeer);
          }
        });
      }
    } else {
      Reply(aPeer, 404, "{}");
    }
  }
  bool AnswerWatch(int aPeer)
  {
    Connection& connection = m_connections[aPeer];
    std::string events;
    for (const Change& change : m_history) {
      if (change.m_revision > connection.m_after) {
        events += (events.empty() ? "" : ",") + change.m_event;
      }
    }
    if (events.empty() && Now() < connection.m_until) {
      return false;
    }
    connection.m_waits = false;
    Reply(aPeer,
          200,
          "{\"events\":[" + events +
            "],\"StoreRevision\":" + std::to_string(m_revision) + "}");
    return true;
  }
  void Notify()
  {
    std::vector<int> waiting;
    for (const auto& [peer, connection] : m_connections) {
      if (connection.m_waits) {
        waiting.push_back(peer);
      }
    }
    for (const int peer : waiting) {
      AnswerWatch(peer);
    }
  }
  void Reply(int aPeer, int aStatus, const std::string& aBody)
  {
    const std::string text = "HTTP/1.1 " + std::to_string(aStatus) +
                             (aStatus == 200 ? " OK" : " Not Found") +
                             "\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t count =
        send(aPeer, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
      } else if (errno == EAGAIN) {
        pollfd one{ aPeer, POLLOUT, 0 };
        poll(&one, 1, 20);
      } else {
        return;
      }
    }
  }

  static constexpr std::size_t kPage = 500;
  int m_listener = -1;
  std::uint64_t m_revision = 1;
  std::map<std::string, Value> m_items;
  std::vector<Change> m_history;
  std::map<int, Connection> m_connections;
};

// ----------------------------------------------------------------- packets

constexpr std::uint8_t kFin = 2;
constexpr std::uint8_t kRst = 4;
constexpr std::uint8_t kSyn = 8;
constexpr std::uint8_t kAck = 32;
constexpr std::size_t kHead = 34;

struct Packet
{
  std::uint32_t m_echo = 0;
  std::uint32_t m_seq = 0;
  std::uint32_t m_ack = 0;
  std::uint8_t m_flags = 0;
  std::uint32_t m_sum = 0;
  Address m_from;
  Address m_to;
  std::string m_data;
};

/// Stands for the keyed sum of an end: over all fields but echo, pad and
/// BOUNCED; never 0, which only the system's own resets carry.
inline std::uint32_t
SumOf(const Packet& aPacket)
{
  std::uint32_t sum = 0x9e3779b9;
  const auto add = [&](std::uint32_t aValue) {
    sum = (sum ^ aValue) * 16777619U;
    sum ^= sum >> 15;
  };
  add(aPacket.m_seq);
  add(aPacket.m_ack);
  add(aPacket.m_flags);
  add(aPacket.m_from.m_ip);
  add(aPacket.m_from.m_port);
  add(aPacket.m_to.m_ip);
  add(aPacket.m_to.m_port);
  for (const char one : aPacket.m_data) {
    add(static_cast<unsigned char>(one));
  }
  return sum == 0 ? 1 : sum;
}

inline std::string
Write(const Packet& aPacket)
{
  std::string out(kHead, '\0');
  const auto put = [&](std::size_t aAt, auto aValue) {
    for (std::size_t i = 0; i < sizeof(aValue); ++i) {
      out[aAt + i] = static_cast<char>((aValue >> (8 * i)) & 0xff);
    }
  };
  put(0, aPacket.m_echo);
  put(4, aPacket.m_seq);
  put(8, aPacket.m_ack);
  put(12, aPacket.m_flags);
  put(16, static_cast<std::uint16_t>(aPacket.m_data.size()));
  put(18, SumOf(aPacket));
  put(22, aPacket.m_to.m_port);
  put(24, aPacket.m_to.m_ip);
  put(28, aPacket.m_from.m_ip);
  put(32, aPacket.m_from.m_port);
  return out + aPacket.m_data;
}

inline bool
Read(const std::string& aBytes, Packet& aPacket)
{
  if (aBytes.size() < kHead) {
    return false;
  }
  const auto get = [&](std::size_t aAt, std::size_t aSize) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < aSize; ++i) {
      value |= static_cast<std::uint32_t>(
                 static_cast<unsigned char>(aBytes[aAt + i]))
               << (8 * i);
    }
    return value;
  };
  aPacket.m_echo = get(0, 4);
  aPacket.m_seq = get(4, 4);
  aPacket.m_ack = get(8, 4);
  aPacket.m_flags = static_cast<std::uint8_t>(get(12, 1));
  aPacket.m_sum = get(18, 4);
  aPacket.m_to = { get(24, 4), static_cast<std::uint16_t>(get(22, 2)) };
  aPacket.m_from = { get(28, 4), static_cast<std::uint16_t>(get(32, 2)) };
  aPacket.m_data = aBytes.substr(kHead);
  return get(16, 2) == aPacket.m_data.size();
}

// ------------------------------------------------------------------- hosts

/// A host of the project, as the deploy file starts it.
struct Host
{
  std::string m_name;
  std::string m_zone;
  Address m_packets;
  Address m_ready;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = 0;
  /// The platform stops the process and starts it again.
  bool m_stopping = false;
  double m_killAt = 0;
  double m_startedAt = 0;
  /// What the routers know.
  bool m_inRotation = false;
  int m_misses = 0;
};

constexpr std::uint16_t kPacketPort = 8172;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kControlPort = 8166;
constexpr int kPeerPort = 7720;
constexpr int kMetricsPort = 9464;
constexpr double kGraceS = 6;
constexpr double kRestartDelayS = 0.2;

class Fleet
{
public:
  Fleet(std::string aFolder, const Address& aStore)
    : m_folder(std::move(aFolder))
    , m_store(aStore)
  {
  }
  ~Fleet()
  {
    for (Host& host : m_hosts) {
      if (host.m_pid > 0) {
        kill(host.m_pid, SIGKILL);
        waitpid(host.m_pid, nullptr, 0);
      }
    }
  }
  Host& Add(const std::string& aZone, int aB, int aC)
  {
    Host host;
    host.m_name = "frontend-" + aZone + "-" + std::to_string(aC);
    host.m_zone = aZone;
    host.m_packets = { Ip(aB, aC), kPacketPort };
    host.m_ready = { Ip(aB, aC), kReadyPort };
    host.m_settings = m_folder + "/" + host.m_name + ".json";
    host.m_log = m_folder + "/" + host.m_name + ".log";
    m_hosts.push_back(host);
    return m_hosts.back();
  }
  /// Writes the settings as deploy/settings.template gives them, with the
  /// bounds of the small sites, and starts all hosts.
  void StartAll()
  {
    std::string seeds;
    std::set<std::string> zones;
    for (const Host& host : m_hosts) {
      if (zones.insert(host.m_zone).second && zones.size() <= 3) {
        seeds += (seeds.empty() ? "" : ",") + ("\"" + host.m_packets.Ip()) +
                 ":" + std::to_string(kControlPort) + "\"";
      }
    }
    for (Host& host : m_hosts) {
      std::ofstream(host.m_settings)
        << "{\n  \"name\": \"" << host.m_name << "\",\n  \"zone\": \""
        << host.m_zone << "\",\n  \"address\": \"" << host.m_packets.Ip()
        << "\",\n  \"packets\": \"" << host.m_packets.Text()
        << "\",\n  \"readiness\": \"" << host.m_ready.Text()
        << "\",\n  \"peer_port\": " << kPeerPort
        << ",\n  \"metrics_port\": " << kMetricsPort
        << ",\n  \"load_report_ms\": 0,\n  \"zone_balance\": false,\n"
           "  \"admission\": false,\n  \"slow_start\": false,\n"
           "  \"zone_out_ms\": 5000,\n  \"in_touch_ms\": 4000,\n"
           "  \"config_ms\": 3000,\n  \"drain_ms\": 3000,\n"
           "  \"stop_grace_ms\": 6e3,\n  \"link_mbps\": 1000.0,\n"
           "  \"cores\": 0.25,\n  \"peers\": ["
        << seeds << "],\n  \"registry\": \"" << m_store.Text() << "\"\n}\n";
      Start(host);
    }
    Loop::The().After(0.02, [this] { Tend(); });
    // The routers ask each node at times of its own.
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
      Loop::The().After(Uniform(0, 0.5), [this, i] { Probe(i); });
    }
  }
  /// SIGTERM, SIGKILL after GraceS, and a new start when the process has ended.
  void Roll(Host& aHost)
  {
    Record::The().Line("plan: SIGTERM to %s", aHost.m_name.c_str());
    aHost.m_stopping = true;
    aHost.m_killAt = Now() + kGraceS;
    kill(aHost.m_pid, SIGTERM);
  }
  std::vector<Host>& Hosts() { return m_hosts; }
  bool AllReady() const
  {
    return std::ranges::all_of(m_hosts,
                               [](const Host& aHost) { return aHost.m_inRotation; });
  }
  std::size_t UnplannedEnds() const { return m_unplanned; }

  /// The node to which the routers give a packet with these ends.
  const Host* Route(const std::string& aZone,
                    const Address& aFrom,
                    const Address& aTo) const
  {
    const std::vector<const Host*> nodes = Rotation(aZone);
    if (nodes.empty()) {
      return nullptr;
    }
    std::uint64_t hash = 1469598103934665603ULL;
    for (const std::uint64_t value :
         { std::uint64_t{ aFrom.m_ip }, std::uint64_t{ aFrom.m_port },
           std::uint64_t{ aTo.m_ip }, std::uint64_t{ aTo.m_port } }) {
      hash = (hash ^ value) * 1099511628211ULL;
      hash ^= hash >> 29;
    }
    return nodes[hash % nodes.size()];
  }

private:
  std::vector<const Host*> Rotation(const std::string& aZone) const
  {
    std::vector<const Host*> all;
    std::vector<const Host*> in;
    std::vector<const Host*> others;
    for (const Host& host : m_hosts) {
      if (host.m_zone == aZone) {
        all.push_back(&host);
        if (host.m_inRotation) {
          in.push_back(&host);
        }
      } else if (host.m_inRotation) {
        others.push_back(&host);
      }
    }
    if (in.empty()) {
      return others;
    }
    return in.size() * 2 < all.size() ? all : in;
  }
  void Start(Host& aHost)
  {
    const pid_t child = fork();
    if (child == 0) {
      // The host ends with the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
        open(aHost.m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("WASABILOOM_CONFIG", aHost.m_settings.c_str(), 1);
      const char* program = "target/platform/wasabiloom-platform";
      execl(program, program, nullptr);
      _exit(127);
    }
    aHost.m_pid = child;
    aHost.m_startedAt = Now();
    Record::The().Line("platform: %s started", aHost.m_name.c_str());
  }
  void Tend()
  {
    for (Host& host : m_hosts) {
      if (host.m_pid > 0 && host.m_stopping && Now() > host.m_killAt) {
        kill(host.m_pid, SIGKILL);
      }
      int status = 0;
      if (host.m_pid > 0 && waitpid(host.m_pid, &status, WNOHANG) == host.m_pid) {
        m_unplanned += host.m_stopping ? 0 : 1;
        Record::The().Line("platform: %s ended%s",
                           host.m_name.c_str(),
                           host.m_stopping ? "" : " by itself");
        host.m_pid = 0;
        host.m_stopping = false;
        Host* again = &host;
        Loop::The().After(kRestartDelayS, [this, again] { Start(*again); });
      }
    }
    Loop::The().After(0.02, [this] { Tend(); });
  }
  void Probe(std::size_t aHost)
  {
    Loop::The().After(0.5, [this, aHost] { Probe(aHost); });
    const int peer =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = m_hosts[aHost].m_ready.Native();
    connect(peer, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    const auto done = std::make_shared<bool>(false);
    const auto finish = [this, aHost, peer, done](bool aGood) {
      if (*done) {
        return;
      }
      *done = true;
      Loop::The().Drop(peer);
      close(peer);
      NoteProbe(m_hosts[aHost], aGood);
    };
    const auto text = std::make_shared<std::string>();
    Loop::The().Watch(peer, POLLOUT, [peer, finish, text](short aEvents) {
      if ((aEvents & (POLLERR | POLLHUP)) != 0) {
        finish(false);
        return;
      }
      const std::string request =
        "GET /readiness HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
      if (send(peer, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
        finish(false);
        return;
      }
      Loop::The().Watch(peer, POLLIN, [peer, finish, text](short) {
        char bytes[1024];
        const ssize_t count = read(peer, bytes, sizeof(bytes));
        if (count > 0) {
          text->append(bytes, static_cast<std::size_t>(count));
        }
        if (text->find("\r\n") != std::string::npos) {
          finish(text->starts_with("HTTP/1.1 200"));
        } else if (count <= 0) {
          finish(false);
        }
      });
    });
    Loop::The().After(0.45, [finish] { finish(false); });
  }
  void NoteProbe(Host& aHost, bool aGood)
  {
    const bool before = aHost.m_inRotation;
    aHost.m_misses = aGood ? 0 : aHost.m_misses + 1;
    aHost.m_inRotation = aGood || (before && aHost.m_misses < 2);
    if (aHost.m_inRotation != before) {
      Record::The().Line("router: %s %s rotation",
                         aHost.m_name.c_str(),
                         before ? "out of" : "in");
    }
  }

  std::string m_folder;
  Address m_store;
  std::vector<Host> m_hosts;
  std::size_t m_unplanned = 0;
};

// ----------------------------------------------------------------- targets

/// Times of retransmissions of an end: 200 ms, doubled up to 1.6 s.
inline double
RetryAfter(int aTries)
{
  return std::min(0.2 * (1 << std::min(aTries, 3)), 1.6);
}

constexpr double kHeartbeatS = 1.2;

struct Run
{
  double m_at;
  std::string m_request;
  std::string m_target;
  std::string m_service;
};

/// A target: takes packets that name its id, opens a flow when its own SYN is
/// acknowledged, answers each request with `SERVICE ID REQUEST`.
class Target
{
public:
  Target(Store& aStore,
         std::string aId,
         std::string aService,
         std::string aZone,
         const Address& aLocal,
         std::vector<Run>& aRuns)
    : m_store(aStore)
    , m_id(std::move(aId))
    , m_service(std::move(aService))
    , m_zone(std::move(aZone))
    , m_local(aLocal)
    , m_runs(aRuns)
  {
    m_number = std::stoull(m_id.substr(m_id.find('-') + 1), nullptr, 16);
  }
  /// A target that starts during traffic is cold for `aColdMs`.
  void Start(int aColdMs = 0)
  {
    m_socket = OpenUdp(m_local);
    m_startedAt = Now();
    m_born = UnixMs();
    Loop::The().Watch(m_socket, POLLIN, [this](short) { OnReadable(); });
    Record::The().Line("target: %s of %s started at %s",
                       m_id.c_str(),
                       m_service.c_str(),
                       m_local.Text().c_str());
    Register(aColdMs);
  }
  /// The process ends at once; all its flows are gone.
  void Crash()
  {
    Loop::The().Drop(m_socket);
    close(m_socket);
    m_socket = -1;
    m_flows.clear();
    Record::The().Line("target: %s crashed", m_id.c_str());
  }
  /// Reports `draining`; from then on each flow is closed after its next
  /// response.
  void Drain()
  {
    m_state = "draining";
    Record::The().Line("target: %s drains", m_id.c_str());
    Register(0);
  }
  /// Writes the entry, and again with the next heartbeat while cold.
  void Register(int aColdMs)
  {
    if (aColdMs > 0) {
      const std::int64_t born = m_born;
      Loop::The().After(kHeartbeatS, [this, aColdMs, born] {
        if (m_socket >= 0 && born == m_born) {
          Register(std::max(aColdMs - static_cast<int>(1000 * kHeartbeatS), 0));
        }
      });
    }
    m_store.Put("servers/" + m_id,
                "{\"Service\":\"" + m_service + "\",\"Address\":\"" +
                  m_local.Text() + "\",\"Zone\":\"" + m_zone +
                  "\",\"Version\":\"v1\",\"Slots\":2,\"State\":\"" + m_state +
                  "\",\"ColdRemainingMs\":" +
                  std::to_string(aColdMs) + ",\"Sequence\":1,\"born\":" +
                  std::to_string(m_born) + "}");
  }
  bool HasOpen(const Address& aCaller) const
  {
    const auto found = m_flows.find(aCaller);
    return found != m_flows.end() && found->second.m_open;
  }
  const std::string& Id() const { return m_id; }
  const std::string& Service() const { return m_service; }
  const std::string& Zone() const { return m_zone; }
  const Address& Local() const { return m_local; }
  double StartedAt() const { return m_startedAt; }
  std::uint32_t EchoOf(const Address& aCaller) const
  {
    const auto found = m_flows.find(aCaller);
    return found == m_flows.end() ? 0 : found->second.m_echo;
  }

private:
  struct Flow
  {
    bool m_open = false;
    std::uint32_t m_echo = 0;
    std::uint32_t m_seq = 0;
    std::uint32_t m_peerSeq = 0;
    std::string m_unacked;
    std::uint32_t m_unackedSeq = 0;
    int m_tries = 0;
    std::uint64_t m_turn = 0;
  };

  void OnReadable()
  {
    char bytes[2048];
    ssize_t count = 0;
    while (m_socket >= 0 &&
           (count = recv(m_socket, bytes, sizeof(bytes), 0)) >= 8) {
      std::uint64_t named = 0;
      for (int i = 0; i < 8; ++i) {
        named = named << 8 | static_cast<unsigned char>(bytes[i]);
      }
      Packet packet;
      if ((named == 0 || named == m_number) &&
          Read(std::string(bytes + 8, static_cast<std::size_t>(count - 8)),
               packet)) {
        OnPacket(packet);
      }
    }
  }
  void Send(const Packet& aGot, Packet aOut)
  {
    aOut.m_from = aGot.m_to;
    aOut.m_to = aGot.m_from;
    SendUdp(m_socket, Write(aOut), { aGot.m_from.m_ip, kPacketPort });
  }
  void OnPacket(const Packet& aPacket)
  {
    const auto found = m_flows.find(aPacket.m_from);
    if ((aPacket.m_flags & kSyn) != 0) {
      Flow& flow = m_flows[aPacket.m_from];
      if (found == m_flows.end()) {
        flow.m_seq = static_cast<std::uint32_t>(Random()());
        flow.m_peerSeq = aPacket.m_seq + 1;
      }
      flow.m_echo = aPacket.m_echo;
      Packet answer;
      answer.m_flags = kSyn | kAck;
      answer.m_echo = flow.m_echo;
      answer.m_seq = flow.m_seq;
      answer.m_ack = flow.m_peerSeq;
      Send(aPacket, answer);
      return;
    }
    if ((aPacket.m_flags & kRst) != 0) {
      m_flows.erase(aPacket.m_from);
      return;
    }
    const bool holds =
      found != m_flows.end() &&
      (found->second.m_open || aPacket.m_ack == found->second.m_seq + 1);
    if (!holds) {
      Packet answer;
      answer.m_flags = kRst;
      answer.m_seq = aPacket.m_ack;
      answer.m_echo = aPacket.m_echo;
      Send(aPacket, answer);
      return;
    }
    Flow& flow = found->second;
    if (!flow.m_open) {
      flow.m_open = true;
      ++flow.m_seq;
    }
    flow.m_echo = aPacket.m_echo;
    if (!flow.m_unacked.empty() && aPacket.m_ack == flow.m_seq) {
      flow.m_unacked.clear();
    }
    const bool isNew =
      !aPacket.m_data.empty() && aPacket.m_seq == flow.m_peerSeq;
    if (isNew) {
      flow.m_peerSeq += static_cast<std::uint32_t>(aPacket.m_data.size());
      m_runs.push_back({ Now(), aPacket.m_data, m_id, m_service });
      Record::The().Line("target: %s of %s runs %s",
                         m_id.c_str(),
                         m_service.c_str(),
                         aPacket.m_data.c_str());
      flow.m_unacked = m_service + " " + m_id + " " + aPacket.m_data;
      flow.m_unackedSeq = flow.m_seq;
      flow.m_seq += static_cast<std::uint32_t>(flow.m_unacked.size());
      flow.m_tries = 0;
      const std::uint64_t turn = ++flow.m_turn;
      SendData(aPacket, turn);
      return;
    }
    if (!aPacket.m_data.empty() || (aPacket.m_flags & kFin) != 0) {
      Packet answer;
      answer.m_flags = kAck;
      if ((aPacket.m_flags & kFin) != 0) {
        answer.m_flags |= kFin;
      }
      answer.m_echo = flow.m_echo;
      answer.m_seq = flow.m_seq;
      answer.m_ack = flow.m_peerSeq;
      Send(aPacket, answer);
      if ((aPacket.m_flags & kFin) != 0) {
        m_flows.erase(aPacket.m_from);
      }
    }
  }
  void SendData(const Packet& aGot, std::uint64_t aTurn)
  {
    const auto found = m_flows.find(aGot.m_from);
    if (m_socket < 0 || found == m_flows.end() ||
        found->second.m_turn != aTurn || found->second.m_unacked.empty() ||
        found->second.m_tries > 8) {
      return;
    }
    Flow& flow = found->second;
    Packet answer;
    answer.m_flags = m_state == "draining" ? kAck | kFin : kAck;
    answer.m_echo = flow.m_echo;
    answer.m_seq = flow.m_unackedSeq;
    answer.m_ack = flow.m_peerSeq;
    answer.m_data = flow.m_unacked;
    Send(aGot, answer);
    const double pause = RetryAfter(flow.m_tries++);
    Loop::The().After(pause, [this, aGot, aTurn] { SendData(aGot, aTurn); });
  }

  Store& m_store;
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  Address m_local;
  std::vector<Run>& m_runs;
  std::string m_state = "ready";
  std::uint64_t m_number = 0;
  std::int64_t m_born = 0;
  double m_startedAt = 0;
  int m_socket = -1;
  std::map<Address, Flow> m_flows;
};

// -------------------------------------------------------------- requesters

enum class FlowEnd
{
  None,
  /// No SYN+ACK in 1.4 s.
  NotOpened,
  /// A reset before the flow was open.
  Refused,
  /// A reset of the system on an open flow.
  SystemReset,
  /// A reset of a target on an open flow.
  TargetReset,
  /// No answer in the time budget.
  Deadline,
  Closed,
};

class Requesters;

/// One flow of a requester.
struct ClientFlow
{
  std::string m_zone;
  Address m_local;
  Address m_route;
  bool m_open = false;
  FlowEnd m_end = FlowEnd::None;
  double m_openedAt = 0;
  double m_endedAt = 0;
  double m_lastPacketAt = 0;
  std::uint32_t m_echo = 0;
  std::uint32_t m_seq = 0;
  std::uint32_t m_peerSeq = 0;
  /// The request in progress; empty for none.
  std::string m_request;
  double m_sentAt = 0;
  double m_budget = 1.2;
  int m_tries = 0;
  int m_answers = 0;
  std::string m_lastAnswer;
  std::string m_lastHost;
  /// How long that host's process had run; negative once it was told to stop.
  double m_lastHostUp = 0;
  std::function<void(ClientFlow&)> m_onOpen;
  std::function<void(ClientFlow&, const std::string&)> m_onAnswer;
  std::function<void(ClientFlow&)> m_onEnd;
};

/// The requesters of all zones, one machine a zone.
class Requesters
{
public:
  Requesters(Fleet& aFleet, const std::vector<std::string>& aZones)
    : m_fleet(aFleet)
  {
    int number = 1;
    for (const std::string& zone : aZones) {
      const Address local{ Ip(9, number++), kPacketPort };
      const int descriptor = OpenUdp(local);
      m_machines[zone] = { local.m_ip, descriptor, 1024 };
      Loop::The().Watch(descriptor, POLLIN, [this, zone](short) { OnReadable(zone); });
    }
  }
  std::shared_ptr<ClientFlow> Open(const std::string& aZone,
                                   const Address& aRoute,
                                   std::function<void(ClientFlow&)> aOnOpen,
                                   std::function<void(ClientFlow&)> aOnEnd)
  {
    Machine& machine = m_machines.at(aZone);
    auto flow = std::make_shared<ClientFlow>();
    flow->m_zone = aZone;
    flow->m_local = { machine.m_ip, machine.m_nextPort++ };
    flow->m_route = aRoute;
    flow->m_seq = static_cast<std::uint32_t>(Random()());
    flow->m_onOpen = std::move(aOnOpen);
    flow->m_onEnd = std::move(aOnEnd);
    m_flows[flow->m_local] = flow;
    SendSyn(flow, 0);
    Loop::The().After(0.2, [this, flow] { SendSyn(flow, 1); });
    Loop::The().After(0.6, [this, flow] { SendSyn(flow, 2); });
    Loop::The().After(1.4, [this, flow] {
      if (!flow->m_open) {
        End(*flow, FlowEnd::NotOpened);
      }
    });
    return flow;
  }
  /// Precondition: the flow is open and has no request in progress.
  void Ask(const std::shared_ptr<ClientFlow>& aFlow,
           const std::string& aRequest,
           double aBudget)
  {
    aFlow->m_request = aRequest;
    aFlow->m_sentAt = Now();
    aFlow->m_budget = aBudget;
    aFlow->m_tries = 0;
    Record::The().Line("requester: %s asks %s of %s",
                       aFlow->m_local.Text().c_str(),
                       aRequest.c_str(),
                       aFlow->m_route.Text().c_str());
    SendRequest(aFlow, aRequest);
    Loop::The().After(aBudget, [this, aFlow, aRequest] {
      if (aFlow->m_request == aRequest && aFlow->m_end == FlowEnd::None) {
        Record::The().Line("requester: %s got no answer to %s in its time budget",
                           aFlow->m_local.Text().c_str(),
                           aRequest.c_str());
        End(*aFlow, FlowEnd::Deadline);
      }
    });
  }
  void Close(const std::shared_ptr<ClientFlow>& aFlow)
  {
    if (aFlow->m_end != FlowEnd::None) {
      return;
    }
    Packet packet = Next(*aFlow, kFin | kAck);
    Transmit(*aFlow, packet);
    End(*aFlow, FlowEnd::Closed);
  }

private:
  struct Machine
  {
    std::uint32_t m_ip = 0;
    int m_socket = -1;
    std::uint16_t m_nextPort = 1024;
  };

  static Packet Next(const ClientFlow& aFlow, std::uint8_t aFlags)
  {
    Packet packet;
    packet.m_flags = aFlags;
    packet.m_echo = aFlow.m_echo;
    packet.m_seq = aFlow.m_seq;
    packet.m_ack = aFlow.m_peerSeq;
    packet.m_from = aFlow.m_local;
    packet.m_to = aFlow.m_route;
    return packet;
  }
  void Transmit(ClientFlow& aFlow, const Packet& aPacket)
  {
    const Host* host = m_fleet.Route(aFlow.m_zone, aPacket.m_from, aPacket.m_to);
    if (host != nullptr) {
      aFlow.m_lastHost = host->m_name;
      aFlow.m_lastHostUp = host->m_stopping ? -1 : Now() - host->m_startedAt;
      SendUdp(m_machines.at(aFlow.m_zone).m_socket, Write(aPacket), host->m_packets);
    }
  }
  void SendSyn(const std::shared_ptr<ClientFlow>& aFlow, std::uint32_t aCopy)
  {
    if (aFlow->m_open || aFlow->m_end != FlowEnd::None) {
      return;
    }
    Packet packet = Next(*aFlow, kSyn);
    packet.m_echo = 0;
    packet.m_ack = aCopy;
    Transmit(*aFlow, packet);
  }
  void SendRequest(const std::shared_ptr<ClientFlow>& aFlow,
                   const std::string& aRequest)
  {
    if (aFlow->m_request != aRequest || aFlow->m_end != FlowEnd::None) {
      return;
    }
    Packet packet = Next(*aFlow, kAck);
    packet.m_data = aRequest;
    Transmit(*aFlow, packet);
    Loop::The().After(RetryAfter(aFlow->m_tries++), [this, aFlow, aRequest] {
      SendRequest(aFlow, aRequest);
    });
  }
  void OnReadable(const std::string& aZone)
  {
    char bytes[2048];
    ssize_t count = 0;
    while ((count = recv(m_machines.at(aZone).m_socket, bytes, sizeof(bytes), 0)) >
           0) {
      Packet packet;
      if (!Read(std::string(bytes, static_cast<std::size_t>(count)), packet)) {
        continue;
      }
      const auto found = m_flows.find(packet.m_to);
      if (found != m_flows.end() && found->second->m_end == FlowEnd::None &&
          packet.m_from == found->second->m_route) {
        const auto flow = found->second;
        OnPacket(flow, packet);
      }
    }
  }
  void OnPacket(const std::shared_ptr<ClientFlow>& aFlow, const Packet& aPacket)
  {
    ClientFlow& flow = *aFlow;
    if ((aPacket.m_flags & kRst) != 0) {
      const auto distance =
        static_cast<std::int32_t>(aPacket.m_seq - flow.m_peerSeq);
      if (!flow.m_open) {
        End(flow, FlowEnd::Refused);
      } else if (std::abs(distance) <= 76'800) {
        const bool isSystem = aPacket.m_sum == 0;
        Record::The().Line(
          "requester: %s on route %s gets a reset of %s, %s, host %s",
          flow.m_local.Text().c_str(),
          flow.m_route.Text().c_str(),
          isSystem ? "the system" : "a target",
          flow.m_request.empty() ? "no request in progress"
                                 : ("request in progress " + flow.m_request).c_str(),
          flow.m_lastHost.c_str());
        End(flow, isSystem ? FlowEnd::SystemReset : FlowEnd::TargetReset);
      }
      return;
    }
    if ((aPacket.m_flags & kSyn) != 0) {
      if (!flow.m_open) {
        flow.m_open = true;
        flow.m_openedAt = Now();
        flow.m_lastPacketAt = Now();
        flow.m_echo = aPacket.m_echo;
        flow.m_peerSeq = aPacket.m_seq + 1;
        ++flow.m_seq;
        Transmit(flow, Next(flow, kAck));
        flow.m_onOpen(flow);
      }
      // A SYN+ACK of another target on an open flow is ignored.
      return;
    }
    flow.m_echo = aPacket.m_echo;
    flow.m_lastPacketAt = Now();
    if (aPacket.m_data.empty()) {
      return;
    }
    if (aPacket.m_seq == flow.m_peerSeq) {
      flow.m_peerSeq += static_cast<std::uint32_t>(aPacket.m_data.size());
      flow.m_seq += static_cast<std::uint32_t>(flow.m_request.size());
      flow.m_lastAnswer = aPacket.m_data;
      const std::string request = flow.m_request;
      flow.m_request.clear();
      ++flow.m_answers;
      Record::The().Line("requester: %s gets '%s'",
                         flow.m_local.Text().c_str(),
                         aPacket.m_data.c_str());
      if ((aPacket.m_flags & kFin) != 0) {
        Close(aFlow);
        return;
      }
      Transmit(flow, Next(flow, kAck));
      if (flow.m_onAnswer) {
        flow.m_onAnswer(flow, request);
      }
      return;
    }
    Transmit(flow, Next(flow, kAck));
  }
  void End(ClientFlow& aFlow, FlowEnd aEnd)
  {
    if (aFlow.m_end != FlowEnd::None) {
      return;
    }
    aFlow.m_end = aEnd;
    aFlow.m_endedAt = Now();
    aFlow.m_request.clear();
    const auto onEnd = std::move(aFlow.m_onEnd);
    aFlow.m_onEnd = nullptr;
    if (onEnd) {
      onEnd(aFlow);
    }
  }

  Fleet& m_fleet;
  std::map<std::string, Machine> m_machines;
  std::map<Address, std::shared_ptr<ClientFlow>> m_flows;
};

// -------------------------------------------------------------------- runs

/// Finds a free part of the loopback network.
inline void
ChooseNet()
{
  for (int attempt = 0; attempt < 50; ++attempt) {
    g_net = static_cast<int>(20 + Random()() % 200);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Address{ Ip(250, 1), 8169 }.Native();
    const bool isFree = bind(descriptor,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) == 0;
    close(descriptor);
    if (isFree) {
      return;
    }
  }
  throw CannotRun{ "no free loopback addresses" };
}

inline bool
WithTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/// Runs a case in a temporary folder; `aPlay` returns whether the rule held.
/// Exit codes: 0 held, 1 broken, 2 could not run. Arguments: record file.
inline int
RunCase(int argc, char** argv, const std::function<bool(const std::string&)>& aPlay)
{
  signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::fprintf(stderr, "usage: case RECORD\n");
    return 2;
  }
  Record::The().Open(argv[1]);
  char folder[] = "/tmp/wasabiloom-case-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    return 2;
  }
  int code = 2;
  try {
    if (access("target/platform/wasabiloom-platform", X_OK) != 0) {
      throw CannotRun{ "target/platform/wasabiloom-platform is not built" };
    }
    ChooseNet();
    code = aPlay(folder) ? 0 : 1;
    Record::The().Line("result: the rule %s", code == 0 ? "held" : "was broken");
  } catch (const CannotRun& failure) {
    Record::The().Line("result: could not run: %s", failure.m_why.c_str());
  }
  std::printf("%s\n",
              code == 0 ? "held" : (code == 1 ? "broken" : "could not run"));
  if (std::getenv("KEEP") == nullptr) {
    const std::string remove = std::string("rm -rf ") + folder;
    if (std::system(remove.c_str()) != 0) {
      std::fprintf(stderr, "%s is left\n", folder);
    }
  } else {
    std::printf("%s\n", folder);
  }
  return code;
}

} // namespace site
