/// Prints how long the hosts of a fleet take to be ready when all start at
/// once, and what that costs them.
/// Usage: fleet_start [--plot FILE] HOSTS...

#include "support/FleetStart.h"
#include "support/Plot.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string_view>

namespace {

using namespace std::chrono_literals;
using namespace wasabiloom::tests;
using wasabiloom::base::Duration;

constexpr std::uint64_t kSeed = 1;
constexpr double kPlottedMs = 1000;

constexpr std::array kTroubles = {
  StartTrouble::None,        StartTrouble::Loss,
  StartTrouble::TellersDie,  StartTrouble::TellersFreeze,
  StartTrouble::ZoneCut,     StartTrouble::FewAnswered,
  StartTrouble::SeedsFreeze, StartTrouble::SeedsLate,
};

double
Milliseconds(Duration aSpan)
{
  return std::chrono::duration<double, std::milli>(aSpan).count();
}

/// Share of hosts that are ready, by time.
PlotLine
LineOf(const StartTimes& aTimes, const std::string& aName)
{
  PlotLine line{ aName, {} };
  const auto count = static_cast<double>(aTimes.m_each.size());
  for (std::size_t i = 0; i < aTimes.m_each.size(); ++i) {
    const double x = Milliseconds(aTimes.m_each[i]);
    line.m_points.emplace_back(std::min(x, kPlottedMs),
                               static_cast<double>(i + 1) / count);
  }
  return line;
}

StartTimes
Measure(std::size_t aHosts, StartTrouble aTrouble)
{
  auto net = MakeStartingFleet(aHosts, kSeed);
  StartTimes times = StartAtOnce(*net, aHosts, aTrouble);
  double sent = 0;
  double received = 0;
  double all = 0;
  for (std::size_t i = 0; i < aHosts; ++i) {
    sent = std::max(sent, net->BytesOf(i).m_sent);
    received = std::max(received, net->BytesOf(i).m_received);
    all += net->BytesOf(i).m_sent;
  }
  std::printf("| %zu | %s | %.0f | %.0f | %.0f | %zu | %llu | %.0f | %.0f | "
              "%.0f |\n",
              aHosts,
              ToString(aTrouble),
              Milliseconds(times.m_median),
              Milliseconds(times.m_most),
              Milliseconds(times.m_slowest),
              times.m_unready,
              static_cast<unsigned long long>(net->Listings()),
              all / static_cast<double>(aHosts) / 1000,
              sent / 1000,
              received / 1000);
  std::fflush(stdout);
  return times;
}

} // namespace

int
main(int argc, char** argv)
{
  std::string plotFile;
  Plot plot{ "Hosts of a fleet that starts at once",
             "ms since the host's start",
             "share ready",
             kPlottedMs,
             1,
             {} };
  std::printf(
    "| hosts | trouble | ready ms, median | p90 | slowest | not ready "
    "| listings | KB sent in 5 s, mean | most | KB received, most |\n"
    "|---|---|---|---|---|---|---|---|---|---|\n");
  for (int i = 1; i < argc; ++i) {
    if (std::string_view(argv[i]) == "--plot" && i + 1 < argc) {
      plotFile = argv[++i];
      continue;
    }
    const std::size_t hosts = std::strtoul(argv[i], nullptr, 10);
    if (hosts == 0) {
      std::cerr << "fleet_start: " << argv[i] << " is no number of hosts\n";
      return 2;
    }
    for (const StartTrouble trouble : kTroubles) {
      const StartTimes times = Measure(hosts, trouble);
      if (trouble == StartTrouble::None) {
        plot.m_lines.push_back(LineOf(times, std::to_string(hosts) + " hosts"));
      }
    }
  }
  if (!plotFile.empty()) {
    std::ofstream(plotFile) << ToSvg(plot);
  }
  return 0;
}
