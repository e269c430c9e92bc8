/// Stand-in for the config service: serves the files of a folder as versioned
/// values, read and watch only. The file `.faults` in that folder makes it
/// misbehave: `stale` freezes the answers, `down` refuses every call, `slow
/// MS` delays them; an empty or missing file means none.

#include "PlatformServer.h"
#include "Support.h"

#include "wasabiloom/daemon/SignalWatch.h"

#include "generated/platform.grpc.pb.h"

#include <QCoreApplication>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

namespace {

namespace options = boost::program_options;
namespace platform = wasabiloom::platform;

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kMaxValueBytes = 1'000'000;
constexpr milliseconds kWaitStep{ 100 };

struct Value
{
  std::uint64_t m_version = 0;
  std::string m_bytes;
};

struct Faults
{
  bool m_stale = false;
  bool m_down = false;
  milliseconds m_delay{ 0 };
};

/// Values and faults, shared by the server's threads and the poll timer.
class Store
{
public:
  explicit Store(std::string aFolder)
    : m_folder(std::move(aFolder))
  {
  }

  void Poll()
  {
    const Faults faults = ReadFaults();
    std::map<std::string, std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(m_folder)) {
      const std::string name = entry.path().filename();
      const bool temporary = name.ends_with(".new");
      if (entry.is_regular_file() && name.front() != '.' && !temporary) {
        files[name] = standins::ReadFileOrThrow(entry.path());
      }
    }
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
    if (!faults.m_stale) {
      for (auto& [name, bytes] : files) {
        Update(name, std::move(bytes));
      }
    }
    m_changed.notify_all();
  }

  /// Waits until the value's version is above `aAbove` or `aWait` is over.
  Value Await(const std::string& aKey, std::uint64_t aAbove, milliseconds aWait)
  {
    const auto end = steady_clock::now() + aWait;
    std::unique_lock lock(m_mutex);
    while (m_values[aKey].m_version <= aAbove && !m_faults.m_down &&
           !m_stopping && steady_clock::now() < end) {
      m_changed.wait_for(lock, kWaitStep);
    }
    return m_values[aKey];
  }

  void Stop()
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
  }

  Faults CurrentFaults()
  {
    const std::lock_guard lock(m_mutex);
    return m_faults;
  }

private:
  void Update(const std::string& aName, std::string aBytes)
  {
    Value& value = m_values[aName];
    if (aBytes.size() <= kMaxValueBytes && value.m_bytes != aBytes) {
      ++value.m_version;
      value.m_bytes = std::move(aBytes);
    }
  }

  Faults ReadFaults() const
  {
    Faults faults;
    const std::string path = m_folder + "/.faults";
    if (!std::filesystem::exists(path)) {
      return faults;
    }
    std::istringstream words(standins::ReadFileOrThrow(path));
    std::string word;
    while (words >> word) {
      faults.m_stale |= word == "stale";
      faults.m_down |= word == "down";
      if (word == "slow") {
        milliseconds::rep delay = 0;
        words >> delay;
        faults.m_delay = milliseconds(delay);
      }
    }
    return faults;
  }

  std::string m_folder;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Value> m_values;
  Faults m_faults;
  bool m_stopping = false;
};

/// Counts calls and refuses those over the limit of the current second.
class RateLimit
{
public:
  explicit RateLimit(double aPerSecond)
    : m_perSecond(aPerSecond)
  {
  }

  bool Admit()
  {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
      steady_clock::now().time_since_epoch());
    const std::lock_guard lock(m_mutex);
    ++m_total;
    if (second != m_second) {
      m_second = second;
      m_inSecond = 0;
    }
    return ++m_inSecond <= m_perSecond;
  }

  std::uint64_t Total()
  {
    const std::lock_guard lock(m_mutex);
    return m_total;
  }

private:
  std::mutex m_mutex;
  double m_perSecond;
  std::uint64_t m_total = 0;
  std::chrono::seconds m_second{ 0 };
  double m_inSecond = 0;
};

class Service final : public platform::ConfigService::Service
{
public:
  Service(Store& aStore, RateLimit& aLimit)
    : m_store(aStore)
    , m_limit(aLimit)
  {
  }

  grpc::Status Read(grpc::ServerContext* /*aContext*/,
                    const platform::ReadRequest* aRequest,
                    platform::Value* aReply) override
  {
    if (!m_limit.Admit()) {
      return { grpc::StatusCode::RESOURCE_EXHAUSTED, "over the rate limit" };
    }
    const Faults faults = m_store.CurrentFaults();
    std::this_thread::sleep_for(faults.m_delay);
    const Value value = m_store.Await(aRequest->key(),
                                      aRequest->above_version(),
                                      milliseconds(aRequest->wait_ms()));
    if (m_store.CurrentFaults().m_down) {
      return { grpc::StatusCode::UNAVAILABLE, "down" };
    }
    if (value.m_version == 0) {
      return { grpc::StatusCode::NOT_FOUND, "no such key" };
    }
    if (value.m_version <= aRequest->above_version()) {
      return { grpc::StatusCode::DEADLINE_EXCEEDED, "nothing newer" };
    }
    aReply->set_version(value.m_version);
    aReply->set_bytes(value.m_bytes);
    return grpc::Status::OK;
  }

private:
  Store& m_store;
  RateLimit& m_limit;
};

int
Serve(int aCount, char** aWords)
{
  QCoreApplication application(aCount, aWords);
  options::options_description known("standin_config_service");
  known.add_options()(
    "listen", options::value<std::string>()->required(), "A.B.C.D:PORT")(
    "folder", options::value<std::string>()->required(), "folder of values")(
    "rate", options::value<double>()->default_value(2000), "calls a second");
  const standins::Options chosen(aCount, aWords, known);
  const wasabiloom::daemon::SignalWatch signals(
    [&] { QCoreApplication::quit(); });
  Store store(chosen.Text("folder"));
  store.Poll();
  RateLimit limit(chosen.Number("rate"));
  Service service(store, limit);
  standins::ServeUntilStopped(
    chosen.Text("listen"),
    service,
    [&] { store.Poll(); },
    [&] { store.Stop(); });
  std::cout << "config_service calls=" << limit.Total() << "\n";
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  return standins::RunMain("standin_config_service",
                           [&] { return Serve(argc, argv); });
}
