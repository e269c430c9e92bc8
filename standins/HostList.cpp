/// Stand-in for the platform's host list. Serves the lines of a file, each
/// `host|backend NAME ZONE ADDRESS live|leaving`; every change of the file is
/// a new revision.

#include "PlatformServer.h"
#include "Support.h"

#include "wasabiloom/daemon/SignalWatch.h"

#include "generated/platform.grpc.pb.h"

#include <QCoreApplication>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace {

namespace options = boost::program_options;
namespace platform = wasabiloom::platform;

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// The list, shared by the server's threads and the poll timer.
class Store
{
public:
  explicit Store(std::string aPath)
    : m_path(std::move(aPath))
  {
  }

  void Poll()
  {
    const std::string text = standins::ReadFileOrThrow(m_path);
    const std::lock_guard lock(m_mutex);
    if (text == m_text) {
      return;
    }
    m_text = text;
    const std::uint64_t revision = m_value.revision() + 1;
    m_value = Parse(text);
    m_value.set_revision(revision);
    m_changed.notify_all();
  }

  platform::HostListValue Await(std::uint64_t aAbove, milliseconds aWait)
  {
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, steady_clock::now() + aWait, [&] {
      return m_value.revision() > aAbove || m_stopping;
    });
    return m_value;
  }

  void Stop()
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
  }

private:
  static platform::HostListValue Parse(const std::string& aText)
  {
    platform::HostListValue value;
    for (const standins::HostLine& line : standins::ParseHostLines(aText)) {
      platform::HostEntry* entry = value.add_hosts();
      entry->set_kind(line.m_isBackend ? platform::HostEntry::BACKEND_SERVER
                                       : platform::HostEntry::ENTRY_HOST);
      entry->set_name(line.m_name);
      entry->set_zone(line.m_zone);
      entry->set_address(line.m_address);
      entry->set_leaving(line.m_leaving);
    }
    return value;
  }

  std::string m_path;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::string m_text;
  platform::HostListValue m_value;
  bool m_stopping = false;
};

class Service final : public platform::HostList::Service
{
public:
  explicit Service(Store& aStore)
    : m_store(aStore)
  {
  }

  grpc::Status List(grpc::ServerContext* /*aContext*/,
                    const platform::ListRequest* aRequest,
                    platform::HostListValue* aReply) override
  {
    *aReply = m_store.Await(aRequest->above_revision(),
                            milliseconds(aRequest->wait_ms()));
    if (aReply->revision() <= aRequest->above_revision()) {
      return { grpc::StatusCode::DEADLINE_EXCEEDED, "nothing newer" };
    }
    return grpc::Status::OK;
  }

private:
  Store& m_store;
};

int
Serve(int aCount, char** aWords)
{
  QCoreApplication application(aCount, aWords);
  options::options_description known("standin_host_list");
  known.add_options()(
    "listen", options::value<std::string>()->required(), "A.B.C.D:PORT")(
    "file", options::value<std::string>()->required(), "the list");
  const standins::Options chosen(aCount, aWords, known);
  const wasabiloom::daemon::SignalWatch signals(
    [&] { QCoreApplication::quit(); });
  Store store(chosen.Text("file"));
  store.Poll();
  Service service(store);
  standins::ServeUntilStopped(
    chosen.Text("listen"),
    service,
    [&] { store.Poll(); },
    [&] { store.Stop(); });
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  return standins::RunMain("standin_host_list",
                           [&] { return Serve(argc, argv); });
}
