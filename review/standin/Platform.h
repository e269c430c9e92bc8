/// Stand-ins for the users' platform as its protocol pages describe it: the
/// metadata store, backend servers ("targets"), requesters and the routers in
/// front of the entry hosts. Everything uses loopback addresses.
///
/// One process holds them all; each part has threads of its own. Times are
/// milliseconds since the start of the process.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

inline std::chrono::steady_clock::time_point
StartTime()
{
  static const auto start = std::chrono::steady_clock::now();
  return start;
}

inline std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - StartTime())
    .count();
}

inline void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/// Ends the program with the code that says that the case could not run.
[[noreturn]] inline void
CannotRun(const std::string& aWhy)
{
  std::cerr << "cannot run: " << aWhy << std::endl;
  std::_Exit(2);
}

/// Lines of record.txt: what was sent, answered and run. Thread safe.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_out(aPath)
  {
    if (!m_out) {
      CannotRun("no record file at " + aPath);
    }
  }

  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[1024];
    va_list words;
    va_start(words, aFormat);
    std::vsnprintf(text, sizeof(text), aFormat, words);
    va_end(words);
    const std::lock_guard lock(m_mutex);
    m_out << NowMs() << " " << text << "\n";
    m_out.flush();
  }

private:
  std::mutex m_mutex;
  std::ofstream m_out;
};

// ---------------------------------------------------------------- addresses

struct Address
{
  std::uint32_t m_ip = 0; // host byte order
  std::uint16_t m_port = 0;
  auto operator<=>(const Address&) const = default;
};

inline std::string
IpText(std::uint32_t aIp)
{
  const in_addr in{ htonl(aIp) };
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &in, text, sizeof(text));
  return text;
}

inline std::string
Text(const Address& aAddress)
{
  return IpText(aAddress.m_ip) + ":" + std::to_string(aAddress.m_port);
}

inline std::uint32_t
Ip(const std::string& aText)
{
  in_addr in{};
  if (inet_pton(AF_INET, aText.c_str(), &in) != 1) {
    CannotRun("no address: " + aText);
  }
  return ntohl(in.s_addr);
}

inline sockaddr_in
Sock(const Address& aAddress)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(aAddress.m_ip);
  out.sin_port = htons(aAddress.m_port);
  return out;
}

inline int
BindSocket(int aType, const Address& aAddress)
{
  const int fd = socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (aType == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const sockaddr_in address = Sock(aAddress);
  if (fd < 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
        0) {
    CannotRun("bind " + Text(aAddress) + ": " + std::strerror(errno));
  }
  return fd;
}

// ------------------------------------------------------------------- packets

constexpr std::uint8_t kFin = 2;
constexpr std::uint8_t kRst = 4;
constexpr std::uint8_t kSyn = 8;
constexpr std::uint8_t kAck = 32;
constexpr std::uint8_t kBounced = 64;
constexpr std::size_t kHead = 34;

/// A packet of the platform: a head of 34 bytes, little-endian, then data.
struct Packet
{
  std::uint32_t m_echo = 0;
  std::uint32_t m_seq = 0;
  std::uint32_t m_ack = 0;
  std::uint8_t m_flags = 0;
  std::uint32_t m_sum = 0;
  Address m_to;
  Address m_from;
  std::string m_data;
};

inline void
Put(std::string& aOut, std::uint64_t aValue, int aBytes)
{
  for (int i = 0; i < aBytes; ++i) {
    aOut += static_cast<char>(aValue >> (8 * i));
  }
}

inline std::uint32_t
Get(const std::string& aIn, std::size_t aAt, int aBytes)
{
  std::uint32_t value = 0;
  for (int i = 0; i < aBytes; ++i) {
    value |= static_cast<std::uint32_t>(static_cast<unsigned char>(aIn[aAt + i]))
             << (8 * i);
  }
  return value;
}

/// A keyed sum over all fields but echo, pad and BOUNCED.
inline std::uint32_t
SumOf(const Packet& aPacket)
{
  std::string text = "a key that only the two ends know";
  Put(text, aPacket.m_seq, 4);
  Put(text, aPacket.m_ack, 4);
  Put(text, aPacket.m_flags & ~kBounced, 1);
  Put(text, aPacket.m_data.size(), 2);
  Put(text, aPacket.m_to.m_port, 2);
  Put(text, aPacket.m_to.m_ip, 4);
  Put(text, aPacket.m_from.m_ip, 4);
  Put(text, aPacket.m_from.m_port, 2);
  text += aPacket.m_data;
  std::uint32_t sum = 2166136261U;
  for (const char c : text) {
    sum = (sum ^ static_cast<unsigned char>(c)) * 16777619U;
  }
  return sum == 0 ? 1 : sum;
}

inline std::string
Write(const Packet& aPacket)
{
  std::string out;
  Put(out, aPacket.m_echo, 4);
  Put(out, aPacket.m_seq, 4);
  Put(out, aPacket.m_ack, 4);
  Put(out, aPacket.m_flags, 1);
  Put(out, 0, 3);
  Put(out, aPacket.m_data.size(), 2);
  Put(out, SumOf(aPacket), 4);
  Put(out, aPacket.m_to.m_port, 2);
  Put(out, aPacket.m_to.m_ip, 4);
  Put(out, aPacket.m_from.m_ip, 4);
  Put(out, aPacket.m_from.m_port, 2);
  return out + aPacket.m_data;
}

inline bool
Read(const std::string& aBytes, Packet& aOut)
{
  if (aBytes.size() < kHead ||
      Get(aBytes, 16, 2) != aBytes.size() - kHead) {
    return false;
  }
  aOut.m_echo = Get(aBytes, 0, 4);
  aOut.m_seq = Get(aBytes, 4, 4);
  aOut.m_ack = Get(aBytes, 8, 4);
  aOut.m_flags = static_cast<std::uint8_t>(Get(aBytes, 12, 1));
  aOut.m_sum = Get(aBytes, 18, 4);
  aOut.m_to = { Get(aBytes, 24, 4),
                static_cast<std::uint16_t>(Get(aBytes, 22, 2)) };
  aOut.m_from = { Get(aBytes, 28, 4),
                  static_cast<std::uint16_t>(Get(aBytes, 32, 2)) };
  aOut.m_data = aBytes.substr(kHead);
  return true;
}

inline void
SendTo(int aFd, const Address& aTo, const std::string& aBytes)
{
  const sockaddr_in to = Sock(aTo);
  sendto(aFd,
         aBytes.data(),
         aBytes.size(),
         MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&to),
         sizeof(to));
}

/// Receives one datagram; returns false when none waits.
inline bool
Receive(int aFd, std::string& aBytes, Address& aFrom)
{
  char buffer[4096];
  sockaddr_in from{};
  socklen_t size = sizeof(from);
  const ssize_t count = recvfrom(aFd,
                                 buffer,
                                 sizeof(buffer),
                                 MSG_DONTWAIT,
                                 reinterpret_cast<sockaddr*>(&from),
                                 &size);
  if (count < 0) {
    return false;
  }
  aBytes.assign(buffer, static_cast<std::size_t>(count));
  aFrom = { ntohl(from.sin_addr.s_addr), ntohs(from.sin_port) };
  return true;
}

// --------------------------------------------------------------------- store

inline std::string
Base64(const std::string& aIn)
{
  static const char* digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aIn.size(); i += 3) {
    const std::size_t left = aIn.size() - i;
    const auto byte = [&](std::size_t aAt) -> std::uint32_t {
      return aAt < aIn.size() ? static_cast<unsigned char>(aIn[aAt]) : 0;
    };
    const std::uint32_t bits =
      byte(i) << 16 | byte(i + 1) << 8 | byte(i + 2);
    out += digits[bits >> 18 & 63];
    out += digits[bits >> 12 & 63];
    out += left > 1 ? digits[bits >> 6 & 63] : '=';
    out += left > 2 ? digits[bits & 63] : '=';
  }
  return out;
}

/// The platform's metadata store, as far as machines may read it. It listens
/// on one address for each entry host, so that it knows who calls. Writes are
/// made by the stand-ins in this process. Thread safe.
class Store
{
public:
  struct Item
  {
    std::string m_value;
    std::uint64_t m_revision = 0;
    std::uint64_t m_created = 0;
  };

  /// Time for which changes can be watched.
  std::int64_t m_historyMs = 20'000;
  /// Items on a page at most.
  std::size_t m_pageItems = 500;
  /// Time that an answer takes.
  std::int64_t m_answerMs = 4;
  /// Age of what a read with StaleOk returns: called with the number of the
  /// read on its connection, from 0 on.
  std::function<std::int64_t(int)> m_staleMs = [](int) { return 0; };
  /// Called, without the lock, when a call arrives: host, path with query.
  std::function<void(int, const std::string&)> m_onCall;

  /// While it is down, the store answers 503 and does nothing.
  void SetDown(bool aDown)
  {
    const std::lock_guard lock(m_mutex);
    m_down = aDown;
    m_changed.notify_all();
  }

  std::uint64_t Write(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(m_mutex);
    Item& item = m_items[aKey];
    item.m_value = aValue;
    item.m_revision = ++m_revision;
    item.m_created = item.m_created == 0 ? m_revision : item.m_created;
    Note(aKey, item, false);
    return m_revision;
  }

  std::uint64_t Remove(const std::string& aKey)
  {
    const std::lock_guard lock(m_mutex);
    if (m_items.erase(aKey) > 0) {
      ++m_revision;
      Note(aKey, { "", m_revision, 0 }, true);
    }
    return m_revision;
  }

  /// Discards the history: a watch from an earlier revision gets 410.
  void Forget()
  {
    const std::lock_guard lock(m_mutex);
    m_historyFrom = m_revision;
    m_changed.notify_all();
  }

  void Listen(int aHost, const Address& aAddress)
  {
    const int fd = BindSocket(SOCK_STREAM, aAddress);
    if (listen(fd, 64) != 0) {
      CannotRun("listen");
    }
    std::thread([this, fd, aHost] {
      while (true) {
        const int one = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (one < 0) {
          return;
        }
        std::thread([this, one, aHost] { Serve(one, aHost); }).detach();
      }
    }).detach();
  }

  /// Revision up to which a host has read by watches or whole listings.
  std::uint64_t AnsweredTo(int aHost)
  {
    const std::lock_guard lock(m_mutex);
    return m_answeredTo[aHost];
  }

private:
  struct Event
  {
    std::string m_key;
    Item m_item;
    bool m_removed = false;
    std::int64_t m_at = 0;
  };

  void Note(const std::string& aKey, const Item& aItem, bool aRemoved)
  {
    m_history.push_back({ aKey, aItem, aRemoved, NowMs() });
    m_changed.notify_all();
  }

  static std::string Json(const std::string& aKey, const Item& aItem)
  {
    return "{\"Key\":\"" + aKey + "\",\"Value\":\"" + Base64(aItem.m_value) +
           "\",\"Revision\":" + std::to_string(aItem.m_revision) +
           ",\"CreateRevision\":" + std::to_string(aItem.m_created) +
           ",\"Lease\":0}";
  }

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const std::size_t question = aTarget.find('?');
    std::string rest =
      question == std::string::npos ? "" : "&" + aTarget.substr(question + 1);
    const std::size_t at = rest.find("&" + aName + "=");
    if (at == std::string::npos) {
      return "";
    }
    std::string raw = rest.substr(at + aName.size() + 2);
    raw = raw.substr(0, raw.find('&'));
    std::string out;
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

  /// The items as they were `aAge` ago, and the revision of that time.
  std::map<std::string, Item> ItemsAt(std::int64_t aAge,
                                      std::uint64_t& aRevision) const
  {
    aRevision = m_revision;
    if (aAge == 0) {
      return m_items;
    }
    const std::int64_t until = NowMs() - aAge;
    std::map<std::string, Item> items;
    aRevision = 1;
    for (const Event& event : m_history) {
      if (event.m_at > until) {
        break;
      }
      aRevision = event.m_item.m_revision;
      if (event.m_removed) {
        items.erase(event.m_key);
      } else {
        items[event.m_key] = event.m_item;
      }
    }
    return items;
  }

  std::string List(const std::string& aTarget, int aNumber)
  {
    const std::string prefix = Query(aTarget, "Prefix");
    const std::string after = Query(aTarget, "after");
    const bool stale = Query(aTarget, "StaleOk") == "1";
    const std::lock_guard lock(m_mutex);
    std::uint64_t revision = 0;
    const auto items = ItemsAt(stale ? m_staleMs(aNumber) : 0, revision);
    std::string body = "{\"items\":[";
    std::size_t count = 0;
    bool more = false;
    for (auto item = items.upper_bound(after); item != items.end(); ++item) {
      if (!item->first.starts_with(prefix)) {
        continue;
      }
      more = count == m_pageItems;
      if (more) {
        break;
      }
      body += (count++ == 0 ? "" : ",") + Json(item->first, item->second);
    }
    return body + "],\"HasMore\":" + (more ? "true" : "false") +
           ",\"StoreRevision\":" + std::to_string(revision) + "}";
  }

  /// Empty when the history is gone.
  std::string Watch(const std::string& aTarget, int aHost)
  {
    const std::string prefix = Query(aTarget, "Prefix");
    const std::uint64_t after = std::stoull("0" + Query(aTarget, "after"));
    const auto wait =
      std::chrono::milliseconds(std::stoll("0" + Query(aTarget, "WaitMs")));
    const auto until = std::chrono::steady_clock::now() + wait;
    std::unique_lock lock(m_mutex);
    while (true) {
      for (const Event& event : m_history) {
        if (event.m_at + m_historyMs < NowMs()) {
          m_historyFrom = std::max(m_historyFrom, event.m_item.m_revision);
        }
      }
      if (after < m_historyFrom || m_down) {
        return "";
      }
      std::string events;
      for (const Event& event : m_history) {
        if (event.m_item.m_revision <= after ||
            !event.m_key.starts_with(prefix)) {
          continue;
        }
        events += events.empty() ? "" : ",";
        events += event.m_removed
                    ? "{\"Key\":\"" + event.m_key + "\",\"Revision\":" +
                        std::to_string(event.m_item.m_revision) +
                        ",\"Removed\":true}"
                    : Json(event.m_key, event.m_item);
      }
      if (!events.empty() || std::chrono::steady_clock::now() >= until) {
        m_answeredTo[aHost] = m_revision;
        return "{\"events\":[" + events +
               "],\"StoreRevision\":" + std::to_string(m_revision) + "}";
      }
      m_changed.wait_until(lock, until);
    }
  }

  bool IsDown()
  {
    const std::lock_guard lock(m_mutex);
    return m_down;
  }

  void Serve(int aFd, int aHost)
  {
    std::string pending;
    int reads = 0;
    char buffer[4096];
    const int on = 1;
    setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    while (true) {
      const std::size_t end = pending.find("\r\n\r\n");
      if (end == std::string::npos) {
        const ssize_t count = recv(aFd, buffer, sizeof(buffer), 0);
        if (count <= 0) {
          break;
        }
        pending.append(buffer, static_cast<std::size_t>(count));
        continue;
      }
      const std::size_t from = pending.find(' ') + 1;
      const std::string target =
        pending.substr(from, pending.find(' ', from) - from);
      pending.erase(0, end + 4);
      if (m_onCall) {
        m_onCall(aHost, target);
      }
      SleepMs(m_answerMs);
      std::string status = "200 OK";
      std::string body;
      if (IsDown()) {
        status = "503 Service Unavailable";
      } else if (target.starts_with("/kv-range")) {
        body = List(target, reads++);
      } else if (target.starts_with("/kv-watch")) {
        body = Watch(target, aHost);
        status = !body.empty() ? status
                 : IsDown()    ? "503 Service Unavailable"
                               : "410 Gone";
      } else {
        status = "404 Not Found";
      }
      const std::string answer =
        "HTTP/1.1 " + status +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
      std::size_t sent = 0;
      while (sent < answer.size()) {
        const ssize_t count =
          send(aFd, answer.data() + sent, answer.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
          close(aFd);
          return;
        }
        sent += static_cast<std::size_t>(count);
      }
    }
    close(aFd);
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::deque<Event> m_history;
  std::uint64_t m_historyFrom = 0;
  std::uint64_t m_revision = 1;
  bool m_down = false;
  std::map<int, std::uint64_t> m_answeredTo;
};

// ------------------------------------------------------------------- targets

/// A run of a request at a target, or an opening packet that it took.
struct Arrival
{
  std::int64_t m_at = 0;
  std::string m_target;
  std::string m_service;
  Address m_route;
  Address m_requester;
  Address m_host;
  std::string m_request; // empty for an opening packet
  std::int64_t m_opened = 0;
};

/// Backend servers. Each registers itself in the store. Thread safe.
class Targets
{
public:
  Targets(Store& aStore, Record& aRecord, std::uint16_t aReturnPort)
    : m_store(aStore)
    , m_record(aRecord)
    , m_returnPort(aReturnPort)
  {
    std::thread([this] { Run(); }).detach();
  }

  /// Called, without the lock, for each opening packet that a target took and
  /// for each run that begins.
  std::function<void(const Arrival&)> m_onArrival;

  void Start(const std::string& aId,
             const std::string& aService,
             const std::string& aZone,
             const Address& aAddress,
             std::int64_t aWorkMs)
  {
    const int fd = BindSocket(SOCK_DGRAM, aAddress);
    const std::lock_guard lock(m_mutex);
    Target& target = m_targets[aId];
    target = {};
    target.m_id = aId;
    target.m_number = std::stoull(aId.substr(aId.find('-') + 1), nullptr, 16);
    target.m_service = aService;
    target.m_zone = aZone;
    target.m_address = aAddress;
    target.m_fd = fd;
    target.m_workMs = aWorkMs;
    target.m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
    Register(target);
  }

  void Drain(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    Target& target = m_targets.at(aId);
    target.m_draining = true;
    Register(target);
    m_record.Line("target %s draining, accepted by the store", aId.c_str());
  }

  /// The target's process ends; requests that run are cut. Returns how many.
  int End(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    Target& target = m_targets.at(aId);
    int cut = 0;
    for (const auto& [key, flow] : target.m_flows) {
      if (flow.m_due > 0) {
        ++cut;
        m_record.Line("target %s cuts run of %s", aId.c_str(),
                      flow.m_request.c_str());
      }
    }
    close(target.m_fd);
    m_targets.erase(aId);
    m_store.Remove("servers/" + aId);
    m_record.Line("target %s ended", aId.c_str());
    return cut;
  }

private:
  struct Flow
  {
    std::uint32_t m_seq = 0;
    std::uint32_t m_expected = 0;
    std::uint32_t m_echo = 0;
    bool m_open = false;
    bool m_ended = false;
    Address m_route;
    std::int64_t m_openedAt = 0;
    std::int64_t m_due = 0; // end of the run, 0 without one
    std::string m_request;
    Packet m_answer; // last answer, repeated on a copy of the request
    std::uint32_t m_requestSeq = 0;
  };

  struct Target
  {
    std::string m_id;
    std::uint64_t m_number = 0;
    std::string m_service;
    std::string m_zone;
    Address m_address;
    int m_fd = -1;
    std::int64_t m_workMs = 0;
    std::int64_t m_born = 0;
    bool m_draining = false;
    std::map<Address, Flow> m_flows;
  };

  void Register(const Target& aTarget)
  {
    m_store.Write(
      "servers/" + aTarget.m_id,
      "{\"Service\":\"" + aTarget.m_service + "\",\"Address\":\"" +
        Text(aTarget.m_address) + "\",\"Zone\":\"" + aTarget.m_zone +
        "\",\"Version\":\"v1\",\"Slots\":2,\"State\":\"" +
        (aTarget.m_draining ? "draining" : "ready") +
        "\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":" +
        std::to_string(aTarget.m_born) + "}");
  }

  void Run()
  {
    while (true) {
      std::vector<pollfd> waits;
      std::vector<std::string> ids;
      {
        const std::lock_guard lock(m_mutex);
        for (const auto& [id, target] : m_targets) {
          waits.push_back({ target.m_fd, POLLIN, 0 });
          ids.push_back(id);
        }
      }
      poll(waits.data(), waits.size(), 2);
      std::vector<Arrival> arrivals;
      {
        const std::lock_guard lock(m_mutex);
        for (std::size_t i = 0; i < ids.size(); ++i) {
          const auto target = m_targets.find(ids[i]);
          if (target == m_targets.end()) {
            continue;
          }
          std::string bytes;
          Address from;
          while ((waits[i].revents & POLLIN) != 0 &&
                 target->second.m_fd == waits[i].fd &&
                 Receive(target->second.m_fd, bytes, from)) {
            OnDatagram(target->second, bytes, from, arrivals);
          }
        }
        for (auto& [id, target] : m_targets) {
          FinishRuns(target);
        }
      }
      for (const Arrival& arrival : arrivals) {
        if (m_onArrival) {
          m_onArrival(arrival);
        }
      }
    }
  }

  void OnDatagram(Target& aTarget,
                  const std::string& aBytes,
                  const Address& aHost,
                  std::vector<Arrival>& aArrivals)
  {
    if (aBytes.size() < 8 + kHead) {
      return;
    }
    std::uint64_t named = 0;
    for (int i = 0; i < 8; ++i) {
      named = named << 8 | static_cast<unsigned char>(aBytes[i]);
    }
    Packet packet;
    if ((named != 0 && named != aTarget.m_number) ||
        !Read(aBytes.substr(8), packet)) {
      return;
    }
    if (packet.m_sum != SumOf(packet)) {
      m_record.Line("target %s gets a packet that its sender didn't write so",
                    aTarget.m_id.c_str());
      return;
    }
    OnPacket(aTarget, packet, aHost, aArrivals);
  }

  void OnPacket(Target& aTarget,
                const Packet& aPacket,
                const Address& aHost,
                std::vector<Arrival>& aArrivals)
  {
    const std::int64_t now = NowMs();
    const Address& key = aPacket.m_from;
    const bool syn = (aPacket.m_flags & kSyn) != 0;
    if (syn && (aPacket.m_flags & kAck) != 0) {
      return;
    }
    if (syn) {
      Flow& flow = aTarget.m_flows[key];
      const bool fresh = flow.m_expected != aPacket.m_seq + 1;
      if (fresh) {
        flow = {};
        flow.m_seq = static_cast<std::uint32_t>(++m_isn * 100'000);
        flow.m_expected = aPacket.m_seq + 1;
        flow.m_route = aPacket.m_to;
        flow.m_openedAt = now;
        aArrivals.push_back({ now,
                              aTarget.m_id,
                              aTarget.m_service,
                              aPacket.m_to,
                              key,
                              aHost,
                              "",
                              now });
      }
      flow.m_echo = aPacket.m_echo;
      if (!flow.m_open) {
        Reply(aTarget, aPacket, flow, kSyn | kAck, flow.m_seq, "");
      }
      return;
    }
    const auto found = aTarget.m_flows.find(key);
    if (found == aTarget.m_flows.end() ||
        (!found->second.m_open &&
         aPacket.m_ack != found->second.m_seq + 1)) {
      if ((aPacket.m_flags & kRst) == 0) {
        Packet reset;
        reset.m_flags = kRst;
        reset.m_seq = aPacket.m_ack;
        reset.m_echo = aPacket.m_echo;
        reset.m_to = aPacket.m_from;
        reset.m_from = aPacket.m_to;
        Send(aTarget, reset);
      }
      return;
    }
    Flow& flow = found->second;
    if (!flow.m_open) {
      flow.m_open = true;
      ++flow.m_seq;
    }
    flow.m_echo = aPacket.m_echo;
    if ((aPacket.m_flags & kRst) != 0) {
      aTarget.m_flows.erase(found);
      return;
    }
    if (!aPacket.m_data.empty()) {
      OnData(aTarget, flow, aPacket, aHost, aArrivals);
    }
    if ((aPacket.m_flags & kFin) != 0) {
      Reply(aTarget, aPacket, flow, kFin | kAck, flow.m_seq, "");
      flow.m_ended = true;
    }
  }

  void OnData(Target& aTarget,
              Flow& aFlow,
              const Packet& aPacket,
              const Address& aHost,
              std::vector<Arrival>& aArrivals)
  {
    if (aPacket.m_seq == aFlow.m_expected && aFlow.m_due == 0) {
      aFlow.m_expected +=
        static_cast<std::uint32_t>(aPacket.m_data.size());
      aFlow.m_requestSeq = aPacket.m_seq;
      aFlow.m_request = RequestId(aPacket.m_data);
      aFlow.m_due = NowMs() + aTarget.m_workMs;
      aFlow.m_answer = aPacket;
      m_record.Line("target %s of %s runs %s from %s",
                    aTarget.m_id.c_str(),
                    aTarget.m_service.c_str(),
                    aFlow.m_request.c_str(),
                    Text(aHost).c_str());
      aArrivals.push_back({ NowMs(),
                            aTarget.m_id,
                            aTarget.m_service,
                            aPacket.m_to,
                            aPacket.m_from,
                            aHost,
                            aFlow.m_request,
                            aFlow.m_openedAt });
    } else if (aPacket.m_seq == aFlow.m_requestSeq && aFlow.m_due == 0) {
      const std::string body = BodyOf(aTarget, aFlow);
      Reply(aTarget,
            aPacket,
            aFlow,
            kAck,
            aFlow.m_seq - static_cast<std::uint32_t>(body.size()),
            body);
    }
  }

  void FinishRuns(Target& aTarget)
  {
    for (auto& [key, flow] : aTarget.m_flows) {
      if (flow.m_due == 0 || flow.m_due > NowMs()) {
        continue;
      }
      flow.m_due = 0;
      const std::string body = BodyOf(aTarget, flow);
      Reply(aTarget, flow.m_answer, flow, kAck, flow.m_seq, body);
      flow.m_seq += static_cast<std::uint32_t>(body.size());
      m_record.Line("target %s answered %s",
                    aTarget.m_id.c_str(),
                    flow.m_request.c_str());
    }
  }

  static std::string RequestId(const std::string& aData)
  {
    const std::string name = "X-Wasabiloom-Request-Id: ";
    const std::size_t at = aData.find(name);
    if (at == std::string::npos) {
      return "none";
    }
    const std::size_t from = at + name.size();
    return aData.substr(from, aData.find('\r', from) - from);
  }

  static std::string BodyOf(const Target& aTarget, const Flow& aFlow)
  {
    return "HTTP/1.1 200 OK\r\nX-Wasabiloom-Server-Signature: " +
           aTarget.m_service + "/" + aTarget.m_id + "/" + aFlow.m_request +
           "\r\nContent-Length: 0\r\n\r\n";
  }

  void Reply(const Target& aTarget,
             const Packet& aTo,
             const Flow& aFlow,
             std::uint8_t aFlags,
             std::uint32_t aSeq,
             const std::string& aData)
  {
    Packet answer;
    answer.m_echo = aFlow.m_echo;
    answer.m_flags = aFlags;
    answer.m_seq = aSeq;
    answer.m_ack = aFlow.m_expected;
    answer.m_to = aTo.m_from;
    answer.m_from = aTo.m_to;
    answer.m_data = aData;
    Send(aTarget, answer);
  }

  void Send(const Target& aTarget, const Packet& aPacket) const
  {
    SendTo(aTarget.m_fd,
           { aPacket.m_to.m_ip, m_returnPort },
           standin::Write(aPacket));
  }

  Store& m_store;
  Record& m_record;
  std::uint16_t m_returnPort;
  std::mutex m_mutex;
  std::map<std::string, Target> m_targets;
  std::uint32_t m_isn = 0;
};

// --------------------------------------------------------------------- hosts

/// The routers: which hosts are in rotation, by their readiness checks, twice
/// a second; out after two misses.
class Rotation
{
public:
  struct Host
  {
    int m_number = 0;
    std::string m_zone;
    Address m_packets;
    Address m_ready;
  };

  explicit Rotation(std::vector<Host> aHosts)
    : m_hosts(std::move(aHosts))
    , m_in(m_hosts.size())
  {
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
      std::thread([this, i] { Check(i); }).detach();
    }
  }

  const std::vector<Host>& All() const { return m_hosts; }

  bool IsIn(std::size_t aIndex) const { return m_in[aIndex]; }

  bool AllIn() const
  {
    for (const auto& one : m_in) {
      if (!one) {
        return false;
      }
    }
    return true;
  }

  /// The host for a flow of a requester in `aZone`: by hash over those of its
  /// zone that are in rotation, over all of the zone if these are fewer than
  /// half, over other zones' if there are none.
  const Host* Choose(const std::string& aZone, std::uint64_t aHash) const
  {
    std::vector<const Host*> zone;
    std::vector<const Host*> in;
    std::vector<const Host*> others;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
      const Host& host = m_hosts[i];
      if (host.m_zone != aZone) {
        if (m_in[i]) {
          others.push_back(&host);
        }
        continue;
      }
      zone.push_back(&host);
      if (m_in[i]) {
        in.push_back(&host);
      }
    }
    const auto& from = in.empty()                     ? others
                       : 2 * in.size() < zone.size() ? zone
                                                      : in;
    return from.empty() ? nullptr : from[aHash % from.size()];
  }

private:
  void Check(std::size_t aIndex)
  {
    int misses = 2;
    while (true) {
      const bool ready = Ask(m_hosts[aIndex].m_ready);
      misses = ready ? 0 : misses + 1;
      m_in[aIndex] = misses < 2;
      SleepMs(500);
    }
  }

  static bool Ask(const Address& aAt)
  {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval wait{ 0, 400'000 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
    const sockaddr_in to = Sock(aAt);
    bool ready = false;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0) {
      const std::string ask =
        "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      send(fd, ask.data(), ask.size(), MSG_NOSIGNAL);
      char buffer[256];
      const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
      ready = count > 12 && std::strncmp(buffer + 9, "200", 3) == 0;
    }
    close(fd);
    return ready;
  }

  std::vector<Host> m_hosts;
  std::deque<std::atomic<bool>> m_in;
};

// ----------------------------------------------------------------- requesters

/// Result of a request.
struct Outcome
{
  std::string m_request;
  Address m_route;
  int m_host = 0; // host that got the opening packet first; 0: none
  std::int64_t m_sent = 0;
  std::int64_t m_ended = 0;
  std::string m_how; // ok, reset, not opened, deadline
  std::string m_answer;
};

/// Requesters at one address. Each request has a flow of its own. Thread safe.
class Requester
{
public:
  Requester(Record& aRecord,
            Rotation& aRotation,
            const Address& aLocal,
            std::string aZone)
    : m_record(aRecord)
    , m_rotation(aRotation)
    , m_local(aLocal)
    , m_zone(std::move(aZone))
    , m_fd(BindSocket(SOCK_DGRAM, aLocal))
  {
    std::thread([this] { Run(); }).detach();
  }

  /// Called, without the lock, when a request has ended.
  std::function<void(const Outcome&)> m_onEnd;

  /// Sends one request. With `aHost`, all its packets go to that host.
  void Ask(const Address& aRoute,
           std::int64_t aBudgetMs,
           const Rotation::Host* aHost = nullptr)
  {
    const std::lock_guard lock(m_mutex);
    const Address self{ m_local.m_ip, ++m_port };
    m_port = m_port < 1024 ? 1024 : m_port;
    Flow& flow = m_flows[self.m_port];
    flow = {};
    flow.m_self = self;
    flow.m_route = aRoute;
    flow.m_direct = aHost;
    flow.m_budget = aBudgetMs;
    flow.m_outcome.m_request = "q" + std::to_string(m_local.m_ip & 255) + "-" +
                               std::to_string(++m_requests);
    flow.m_outcome.m_route = aRoute;
    flow.m_outcome.m_sent = NowMs();
    flow.m_seq = 1000 + self.m_port;
    SendSyn(flow);
    m_record.Line("requester %s sends %s to %s through host %d",
                  Text(self).c_str(),
                  flow.m_outcome.m_request.c_str(),
                  Text(aRoute).c_str(),
                  flow.m_outcome.m_host);
  }

private:
  struct Flow
  {
    Address m_self;
    Address m_route;
    const Rotation::Host* m_direct = nullptr;
    std::int64_t m_budget = 0;
    Outcome m_outcome;
    std::uint32_t m_echo = 0;
    std::uint32_t m_seq = 0;
    std::uint32_t m_theirs = 0;
    int m_copies = 0;
    bool m_open = false;
    std::string m_request;
    std::int64_t m_sentAt = 0;
    std::int64_t m_pause = 200;
  };

  void Transmit(Flow& aFlow,
                std::uint8_t aFlags,
                std::uint32_t aAck,
                const std::string& aData)
  {
    Packet packet;
    packet.m_echo = aFlow.m_echo;
    packet.m_seq = aFlow.m_seq;
    packet.m_ack = aAck;
    packet.m_flags = aFlags;
    packet.m_to = aFlow.m_route;
    packet.m_from = aFlow.m_self;
    packet.m_data = aData;
    const std::uint64_t hash =
      (std::uint64_t(aFlow.m_self.m_port) * 2654435761U) >> 7;
    const Rotation::Host* host = aFlow.m_direct != nullptr
                                   ? aFlow.m_direct
                                   : m_rotation.Choose(m_zone, hash);
    if (host != nullptr) {
      if (aFlow.m_outcome.m_host == 0) {
        aFlow.m_outcome.m_host = host->m_number;
      }
      SendTo(m_fd, host->m_packets, standin::Write(packet));
    }
    aFlow.m_sentAt = NowMs();
  }

  void SendSyn(Flow& aFlow)
  {
    Transmit(aFlow, kSyn, static_cast<std::uint32_t>(aFlow.m_copies), "");
  }

  void SendRequest(Flow& aFlow)
  {
    aFlow.m_request = "POST / HTTP/1.1\r\nHost: x\r\nX-Wasabiloom-Request-Id: " +
                      aFlow.m_outcome.m_request +
                      "\r\nContent-Length: 0\r\n\r\n";
    Transmit(aFlow, kAck, aFlow.m_theirs, aFlow.m_request);
  }

  void Run()
  {
    while (true) {
      pollfd wait{ m_fd, POLLIN, 0 };
      poll(&wait, 1, 2);
      std::vector<Outcome> ended;
      {
        const std::lock_guard lock(m_mutex);
        std::string bytes;
        Address from;
        while (Receive(m_fd, bytes, from)) {
          Packet packet;
          if (Read(bytes, packet)) {
            OnPacket(packet, ended);
          }
        }
        Drive(ended);
      }
      for (const Outcome& outcome : ended) {
        m_record.Line("requester: %s to %s through host %d ends after %lld ms: "
                      "%s",
                      outcome.m_request.c_str(),
                      Text(outcome.m_route).c_str(),
                      outcome.m_host,
                      static_cast<long long>(outcome.m_ended - outcome.m_sent),
                      outcome.m_how.c_str());
        if (m_onEnd) {
          m_onEnd(outcome);
        }
      }
    }
  }

  void OnPacket(const Packet& aPacket, std::vector<Outcome>& aEnded)
  {
    const auto found = m_flows.find(aPacket.m_to.m_port);
    if (found == m_flows.end() || aPacket.m_from != found->second.m_route) {
      return;
    }
    Flow& flow = found->second;
    const bool own = aPacket.m_sum == 0 && (aPacket.m_flags & kRst) != 0;
    if (!own && aPacket.m_sum != SumOf(aPacket)) {
      m_record.Line("requester %s gets a packet that its sender didn't write so",
                    Text(flow.m_self).c_str());
      return;
    }
    if ((aPacket.m_flags & kRst) != 0) {
      End(found, own ? "reset by the system" : "reset by a target", aEnded);
      return;
    }
    if (!flow.m_open && (aPacket.m_flags & kSyn) != 0 &&
        aPacket.m_ack == flow.m_seq + 1) {
      flow.m_open = true;
      flow.m_echo = aPacket.m_echo;
      ++flow.m_seq;
      flow.m_theirs = aPacket.m_seq + 1;
      flow.m_pause = 200;
      SendRequest(flow);
      return;
    }
    if (!flow.m_open || aPacket.m_data.empty() ||
        aPacket.m_seq != flow.m_theirs) {
      return;
    }
    flow.m_echo = aPacket.m_echo;
    flow.m_outcome.m_answer = aPacket.m_data;
    flow.m_seq += static_cast<std::uint32_t>(flow.m_request.size());
    Transmit(flow,
             kFin | kAck,
             flow.m_theirs + static_cast<std::uint32_t>(aPacket.m_data.size()),
             "");
    End(found, "ok", aEnded);
  }

  using Flows = std::map<std::uint16_t, Flow>;

  Flows::iterator End(Flows::iterator aFlow,
                      const char* aHow,
                      std::vector<Outcome>& aEnded)
  {
    Outcome outcome = aFlow->second.m_outcome;
    outcome.m_ended = NowMs();
    outcome.m_how = aHow;
    aEnded.push_back(outcome);
    return m_flows.erase(aFlow);
  }

  void Drive(std::vector<Outcome>& aEnded)
  {
    const std::int64_t now = NowMs();
    for (auto at = m_flows.begin(); at != m_flows.end();) {
      Flow& flow = at->second;
      const std::int64_t age = now - flow.m_outcome.m_sent;
      if (!flow.m_open && age >= 1400) {
        at = End(at, "not opened", aEnded);
        continue;
      }
      if (flow.m_open && age >= flow.m_budget) {
        at = End(at, "deadline", aEnded);
        continue;
      }
      const std::int64_t copyAt = flow.m_copies == 0 ? 200 : 600;
      if (!flow.m_open && flow.m_copies < 2 && age >= copyAt) {
        ++flow.m_copies;
        SendSyn(flow);
      } else if (flow.m_open && now - flow.m_sentAt >= flow.m_pause) {
        flow.m_pause = std::min<std::int64_t>(2 * flow.m_pause, 1600);
        SendRequest(flow);
      }
      ++at;
    }
  }

  Record& m_record;
  Rotation& m_rotation;
  Address m_local;
  std::string m_zone;
  int m_fd;
  std::mutex m_mutex;
  Flows m_flows;
  std::uint16_t m_port = 1024;
  std::uint64_t m_requests = 0;
};

// ---------------------------------------------------------------------- site

/// What run.sh and a case agree on: the first two bytes of all addresses, the
/// number of hosts, the ports. Host N has the address NET.0.N and calls the
/// store at NET.5.N.
struct Site
{
  std::string m_net;
  int m_hosts = 0;
  std::uint16_t m_packets = 0;
  std::uint16_t m_ready = 0;
  std::uint16_t m_store = 0;
  std::string m_work;
  bool m_trouble = true;

  static Site FromEnvironment()
  {
    const auto text = [](const char* aName) -> std::string {
      const char* value = std::getenv(aName);
      if (value == nullptr) {
        CannotRun(std::string("no variable ") + aName);
      }
      return value;
    };
    Site site;
    site.m_net = text("SITE_NET");
    site.m_hosts = std::stoi(text("SITE_HOSTS"));
    site.m_packets = static_cast<std::uint16_t>(std::stoi(text("SITE_PACKETS")));
    site.m_ready = static_cast<std::uint16_t>(std::stoi(text("SITE_READY")));
    site.m_store = static_cast<std::uint16_t>(std::stoi(text("SITE_STORE")));
    site.m_work = text("SITE_WORK");
    site.m_trouble = text("TROUBLE") != "0";
    return site;
  }

  Address At(int aThird, int aFourth, std::uint16_t aPort) const
  {
    return { Ip(m_net + "." + std::to_string(aThird) + "." +
                std::to_string(aFourth)),
             aPort };
  }

  /// Zones take turns: host 1 is in zone a, 2 in b, 3 in c, 4 in a.
  static std::string ZoneOf(int aNumber)
  {
    return std::string(1, static_cast<char>('a' + (aNumber - 1) % 3));
  }

  std::vector<Rotation::Host> Hosts() const
  {
    std::vector<Rotation::Host> hosts;
    for (int i = 1; i <= m_hosts; ++i) {
      hosts.push_back(
        { i, ZoneOf(i), At(0, i, m_packets), At(0, i, m_ready) });
    }
    return hosts;
  }

  /// Process id of a host, which run.sh has started.
  int Pid(int aHost) const
  {
    std::ifstream file(m_work + "/host" + std::to_string(aHost) + ".pid");
    int pid = 0;
    file >> pid;
    return pid;
  }

  void Signal(int aHost, int aSignal) const
  {
    const int pid = Pid(aHost);
    if (pid > 1) {
      kill(pid, aSignal);
    }
  }
};

// ------------------------------------------------------------- configuration

inline std::string
RouteJson(const std::string& aName,
          const Address& aAddress,
          const std::string& aService)
{
  return "{\"Name\":\"" + aName + "\",\"Host\":\"" + IpText(aAddress.m_ip) +
         "\",\"Prefix\":\"/" + std::to_string(aAddress.m_port) +
         "/\",\"Kind\":\"unsafe\",\"TimeoutMs\":1500,\"LatencyGoalMs\":150,"
         "\"Priority\":1,\"Service\":\"" +
         aService + "\",\"MaxAttempts\":2}";
}

inline std::string
ConfigJson(int aVersion,
           const std::string& aRoutes,
           std::int64_t aIdleTimeoutMs = 15000)
{
  const auto service = [](const char* aName) {
    return std::string("{\"Name\":\"") + aName +
           "\",\"HealthPath\":\"/health\",\"ConnectionLimit\":2000,"
           "\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":2.0,"
           "\"ColdPerS\":0.0}";
  };
  return "{\"Version\":" + std::to_string(aVersion) + ",\"Routes\":[" +
         aRoutes + "],\"Services\":[" + service("desk") + "," +
         service("vault") +
         "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
         "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":" +
         std::to_string(aIdleTimeoutMs) + "}}";
}

} // namespace standin
