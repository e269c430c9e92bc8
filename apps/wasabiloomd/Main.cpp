/// The entry host's daemon: reads settings, starts the tasks, waits.

#include "wasabiloom/base/Files.h"
#include "wasabiloom/daemon/ControlServer.h"
#include "wasabiloom/daemon/CoreTask.h"
#include "wasabiloom/daemon/Log.h"
#include "wasabiloom/daemon/MetricsTask.h"
#include "wasabiloom/daemon/PlatformWatch.h"
#include "wasabiloom/daemon/SignalWatch.h"

#include <QCoreApplication>
#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;

using wasabiloom::base::Problem;
using wasabiloom::base::Result;
using wasabiloom::base::ResultCode;
using wasabiloom::settings::HostSettings;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kMetricsIntervalMs = 1000;

Result<HostSettings>
LoadSettings(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, wasabiloom::base::ReadFile(aPath));
  return wasabiloom::settings::ReadSettings(text);
}

Result<int>
Run(const HostSettings& aSettings, QCoreApplication& aApplication)
{
  using namespace wasabiloom::daemon;
  SetUpLog(aSettings.m_logLevel, aSettings.m_logFile);
  std::function<void()> leave;
  const SignalWatch signalWatch([&] { leave(); });
  LargeMessageSender sender;
  CoreTask core(aSettings, sender);
  leave = [&] { core.BeginLeave([&] { aApplication.quit(); }); };
  BOOST_LEAF_CHECK(core.Start());
  const auto& address = aSettings.m_address;
  const auto& ports = aSettings.m_ports;
  BOOST_LEAF_AUTO(metrics, MetricsTask::Start({ address, ports.m_metrics }));
  BOOST_LEAF_AUTO(control,
                  ControlServer::Start({ address, ports.m_control }, core));
  PlatformWatch platform(
    aSettings,
    { [&](std::string aBundle) { core.PostBundle(std::move(aBundle)); },
      [&](wasabiloom::core::HostList aList) {
        core.PostHostList(std::move(aList));
      } });
  QTimer publish;
  QObject::connect(&publish, &QTimer::timeout, &core, [&] {
    core.Post([&](wasabiloom::core::HostCore& aCore, auto) {
      metrics->Publish(aCore.GetCounters(), aCore.Status());
    });
  });
  publish.start(kMetricsIntervalMs);
  LogEvent({ "started",
             ResultCode::Ok,
             "host=" + aSettings.m_name + " zone=" + aSettings.m_zone +
               " address=" + ToString(address) });
  const int code = QCoreApplication::exec();
  LogEvent({ "stopped", ResultCode::Ok, aSettings.m_name });
  return code;
}

int
Report(const Problem& aProblem)
{
  std::cerr << "wasabiloomd: " << Describe(aProblem) << "\n";
  return kExitFailure;
}

} // namespace

int
main(int argc, char** argv)
{
  QCoreApplication application(argc, argv);
  options::options_description known("wasabiloomd: entry host of wasabiloom");
  known.add_options()("help,h", "print this text")("version", "print version")(
    "settings,s", options::value<std::string>(), "settings file (required)")(
    "check-settings", "check the settings file and exit");
  options::variables_map chosen;
  try {
    options::store(options::parse_command_line(argc, argv, known), chosen);
    options::notify(chosen);
  } catch (const options::error& failure) {
    std::cerr << "wasabiloomd: " << failure.what() << "\n" << known;
    return kExitUsage;
  }
  if (chosen.contains("help")) {
    std::cout << known;
    return kExitOk;
  }
  if (chosen.contains("version")) {
    std::cout << "wasabiloomd " << WASABILOOM_VERSION << "\n";
    return kExitOk;
  }
  if (!chosen.contains("settings")) {
    std::cerr << "wasabiloomd: --settings is required\n" << known;
    return kExitUsage;
  }
  const auto path = chosen["settings"].as<std::string>();
  return wasabiloom::base::Handle(
    [&]() -> Result<int> {
      BOOST_LEAF_AUTO(settings, LoadSettings(path));
      if (chosen.contains("check-settings")) {
        std::cout << path << ": settings are valid\n";
        return kExitOk;
      }
      return Run(settings, application);
    },
    Report);
}
