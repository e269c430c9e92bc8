#include "wasabiloom/daemon/TokenHostProgram.h"

#include "wasabiloom/base/Files.h"
#include "wasabiloom/daemon/BufferedLog.h"
#include "wasabiloom/daemon/SettingsWatch.h"
#include "wasabiloom/daemon/SignalWatch.h"
#include "wasabiloom/daemon/TokenHostTask.h"

#include <QCoreApplication>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

#include <unistd.h>

namespace wasabiloom::daemon {

namespace {

namespace options = boost::program_options;

using settings::TokenHostSettings;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

/// The settings file as read at the start.
struct SettingsFile
{
  std::string m_path;
  std::string m_text;
};

base::Result<int>
RunLoop(const TokenHostProgram& aProgram,
        const SettingsFile& aFile,
        const TokenHostSettings& aSettings)
{
  LineBuffer log(STDOUT_FILENO);
  SetUpBufferedLog(aSettings.m_logLevel, log);
  log.SetAllowance(aSettings.m_logBytesPerSecond);
  LogLine(LogLevel::Info,
          "host",
          "event=started host=" + aSettings.m_name + " zone=" +
            aSettings.m_zone + " packets=" + ToString(aSettings.m_packets) +
            " registry=" + ToString(aSettings.m_registry));
  const auto registry = aProgram.m_makeRegistry(aSettings.m_registry);
  TokenHostTask task(
    aSettings, { aProgram.m_codec, *registry, aProgram.m_readinessPath }, log);
  SettingsWatch watch(
    aFile.m_path, aFile.m_text, [&](const std::string& aText) {
      base::Handle(
        [&]() -> base::Result<int> {
          BOOST_LEAF_AUTO(changed, settings::ReadTokenHostSettings(aText));
          task.Reload(changed);
          return kExitOk;
        },
        [](const base::Problem& aProblem) {
          LogLine(LogLevel::Warn,
                  "host",
                  "event=settings_refused detail=\"" + Describe(aProblem) +
                    "\"");
          return kExitFailure;
        });
    });
  const SignalWatch signals(
    [&] { task.BeginLeave([] { QCoreApplication::quit(); }); },
    [&] { watch.Check(); });
  BOOST_LEAF_CHECK(task.Start());
  const int code = QCoreApplication::exec();
  log.Flush();
  return code;
}

} // namespace

int
RunTokenHost(const TokenHostProgram& aProgram, int argc, char** argv)
{
  HoldSignals();
  std::signal(SIGPIPE, SIG_IGN);
  // Qt's own event loop makes fewer system calls than GLib's.
  qputenv("QT_NO_GLIB", "1");
  QCoreApplication application(argc, argv);
  options::options_description known(aProgram.m_name +
                                     ": entry host under the token policy");
  known.add_options()("help,h", "print this text")(
    "settings,s",
    options::value<std::string>()->default_value(aProgram.m_defaultSettings),
    "settings file")("check-settings", "check the settings file and exit");
  options::variables_map chosen;
  try {
    options::store(options::parse_command_line(argc, argv, known), chosen);
    options::notify(chosen);
  } catch (const options::error& failure) {
    std::cerr << aProgram.m_name << ": " << failure.what() << "\n" << known;
    return kExitUsage;
  }
  if (chosen.contains("help")) {
    std::cout << known;
    return kExitOk;
  }
  const auto path = chosen["settings"].as<std::string>();
  return base::Handle(
    [&]() -> base::Result<int> {
      BOOST_LEAF_AUTO(text, base::ReadFile(path));
      BOOST_LEAF_AUTO(settings, settings::ReadTokenHostSettings(text));
      if (chosen.contains("check-settings")) {
        std::cout << path << ": settings are valid\n";
        return kExitOk;
      }
      return RunLoop(aProgram, { path, text }, settings);
    },
    [&](const base::Problem& aProblem) {
      std::cerr << aProgram.m_name << ": " << Describe(aProblem) << "\n";
      return kExitFailure;
    });
}

} // namespace wasabiloom::daemon
