#include "wasabiloom/daemon/PlatformWatch.h"

#include "wasabiloom/daemon/Log.h"

#include "generated/platform.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace wasabiloom::daemon {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWait{ 25'000 };
constexpr milliseconds kAnswerMargin{ 2'000 };
constexpr milliseconds kFirstBackoff{ 200 };
constexpr milliseconds kLongestBackoff{ 10'000 };

base::ResultCode
CodeOf(const grpc::Status& aStatus)
{
  switch (aStatus.error_code()) {
    case grpc::StatusCode::NOT_FOUND:
      return base::ResultCode::ValueNotFound;
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
      return base::ResultCode::RateLimited;
    default:
      return base::ResultCode::PlatformUnavailable;
  }
}

std::shared_ptr<grpc::Channel>
Connect(const base::Endpoint& aTo)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  return grpc::CreateCustomChannel(
    ToString(aTo), grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

/// Thread that repeats one kind of blocking read.
class PlatformWatch::Loop
{
public:
  explicit Loop(std::string_view aWhat)
    : m_what(aWhat)
    , m_random(std::random_device()())
  {
  }

  virtual ~Loop() = default;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Start()
  {
    m_thread = std::thread([this] { Run(); });
  }

  void Stop()
  {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
      if (m_context != nullptr) {
        m_context->TryCancel();
      }
    }
    m_changed.notify_all();
    m_thread.join();
  }

protected:
  /// Performs one blocking read and passes on its result.
  virtual grpc::Status ReadOnce(grpc::ClientContext& aContext) = 0;

private:
  void Run()
  {
    milliseconds backoff = kFirstBackoff;
    while (true) {
      grpc::ClientContext context;
      if (!Enter(context)) {
        return;
      }
      const grpc::Status status = ReadOnce(context);
      Leave();
      const bool served = status.ok() || status.error_code() ==
                                           grpc::StatusCode::DEADLINE_EXCEEDED;
      if (served) {
        backoff = kFirstBackoff;
        NoteAnswered();
        continue;
      }
      NoteFailure(status);
      Pause(backoff);
      backoff = std::min(backoff * 2, kLongestBackoff);
    }
  }

  bool Enter(grpc::ClientContext& aContext)
  {
    aContext.set_deadline(std::chrono::system_clock::now() + kWait +
                          kAnswerMargin);
    const std::lock_guard lock(m_mutex);
    m_context = &aContext;
    return !m_stopping;
  }

  void Leave()
  {
    const std::lock_guard lock(m_mutex);
    m_context = nullptr;
  }

  void NoteAnswered()
  {
    if (m_failing) {
      m_failing = false;
      LogEvent({ "platform_back", base::ResultCode::Ok, m_what });
    }
  }

  void NoteFailure(const grpc::Status& aStatus)
  {
    if (!m_failing) {
      m_failing = true;
      LogEvent({ "platform_failing",
                 CodeOf(aStatus),
                 m_what + ": " + aStatus.error_message() });
    }
  }

  void Pause(milliseconds aBackoff)
  {
    std::uniform_int_distribution<milliseconds::rep> jitter(
      aBackoff.count() / 2, aBackoff.count());
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(
      lock, milliseconds(jitter(m_random)), [this] { return m_stopping; });
  }

  std::string m_what;
  std::mt19937 m_random;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  grpc::ClientContext* m_context = nullptr;
  bool m_stopping = false;
  bool m_failing = false;
  std::thread m_thread;
};

/// Watches the signed bundle.
class PlatformWatch::BundleLoop final : public Loop
{
public:
  BundleLoop(const settings::HostSettings& aSettings,
             std::function<void(std::string)> aHandler)
    : Loop("config_service")
    , m_key(aSettings.m_bundleKey)
    , m_handler(std::move(aHandler))
    , m_stub(
        platform::ConfigService::NewStub(Connect(aSettings.m_configService)))
  {
  }

protected:
  grpc::Status ReadOnce(grpc::ClientContext& aContext) override
  {
    platform::ReadRequest request;
    request.set_key(m_key);
    request.set_above_version(m_version);
    request.set_wait_ms(static_cast<std::uint32_t>(kWait.count()));
    platform::Value value;
    grpc::Status status = m_stub->Read(&aContext, request, &value);
    if (status.ok() && value.version() > m_version) {
      m_version = value.version();
      m_handler(value.bytes());
    }
    return status;
  }

private:
  std::string m_key;
  std::function<void(std::string)> m_handler;
  std::unique_ptr<platform::ConfigService::Stub> m_stub;
  std::uint64_t m_version = 0;
};

/// Watches the host list.
class PlatformWatch::HostListLoop final : public Loop
{
public:
  HostListLoop(const settings::HostSettings& aSettings,
               std::function<void(core::HostList)> aHandler)
    : Loop("host_list")
    , m_ports(aSettings.m_ports)
    , m_handler(std::move(aHandler))
    , m_stub(platform::HostList::NewStub(Connect(aSettings.m_hostList)))
  {
  }

protected:
  grpc::Status ReadOnce(grpc::ClientContext& aContext) override
  {
    platform::ListRequest request;
    request.set_above_revision(m_revision);
    request.set_wait_ms(static_cast<std::uint32_t>(kWait.count()));
    platform::HostListValue value;
    grpc::Status status = m_stub->List(&aContext, request, &value);
    if (status.ok() && value.revision() > m_revision) {
      m_revision = value.revision();
      m_handler(Translate(value));
    }
    return status;
  }

private:
  core::HostList Translate(const platform::HostListValue& aValue) const
  {
    core::HostList list;
    list.m_revision = aValue.revision();
    for (const platform::HostEntry& entry : aValue.hosts()) {
      const auto address = base::ParseIpv4(entry.address());
      if (entry.kind() == platform::HostEntry::BACKEND_SERVER) {
        if (entry.leaving()) {
          list.m_leavingTargets.push_back(entry.name());
        }
      } else if (address) {
        list.m_hosts.push_back({ entry.name(),
                                 entry.zone(),
                                 { *address, m_ports.m_peer },
                                 { *address, m_ports.m_relay } });
      }
    }
    return list;
  }

  settings::Ports m_ports;
  std::function<void(core::HostList)> m_handler;
  std::unique_ptr<platform::HostList::Stub> m_stub;
  std::uint64_t m_revision = 0;
};

PlatformWatch::PlatformWatch(const settings::HostSettings& aSettings,
                             PlatformHandlers aHandlers)
  : m_bundle(
      std::make_unique<BundleLoop>(aSettings, std::move(aHandlers.m_onBundle)))
  , m_hostList(
      std::make_unique<HostListLoop>(aSettings,
                                     std::move(aHandlers.m_onHostList)))
{
  m_bundle->Start();
  m_hostList->Start();
}

PlatformWatch::~PlatformWatch()
{
  m_bundle->Stop();
  m_hostList->Stop();
}

} // namespace wasabiloom::daemon
