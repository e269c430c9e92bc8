/// FLOW: the targets of a zone end and start again at once under the ids that
/// they had. Some seconds later hosts are stopped and started in turn. Flows
/// that opened after the new start are open at living, undisturbed targets;
/// none may get a reset of the system.

#include "../standin-2/Site.h"

using namespace site;

namespace {

constexpr double kRollGapS = 2.0;
constexpr double kDownS = 0.15;
constexpr int kColdMs = 2000;
constexpr double kRequestGapS = 2.0;
constexpr double kBudgetS = 5.0;
constexpr double kOpenEveryS = 0.025;
/// Time in which the flows that are watched open, from shortly before the
/// targets end.
constexpr double kOpeningS = 2.0;
constexpr double kContactS = 4.0;

bool
Play(const std::string& aFolder)
{
  const std::vector<std::string> zones{ "north", "east", "south" };
  const Address storeAt{ Ip(250, 1), 8169 };
  Store store(storeAt);
  std::vector<Run> runs;
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 0; i < 12; ++i) {
    char id[32];
    std::snprintf(id, sizeof(id), "i-%08x", 0x33d10200 + 211 * i);
    targets.push_back(std::make_unique<Target>(
      store, id, "scan", zones[i % 3], Address{ Ip(1, 10 + i), 9000 }, runs));
    targets.back()->Start();
  }
  const Address route{ Ip(200, 1), 443 };
  store.Put("op/config",
            "{\"Version\":7,\"Routes\":[{\"Name\":\"r-scan\",\"Host\":\"" +
              route.Ip() +
              "\",\"Prefix\":\"/443/\",\"Kind\":\"download\",\"TimeoutMs\":5000,"
              "\"LatencyGoalMs\":500,\"Priority\":2,\"Service\":\"scan\","
              "\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"scan\","
              "\"HealthPath\":\"/health\",\"ConnectionLimit\":2000,"
              "\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":2.0,"
              "\"ColdPerS\":0.0}],\"Limits\":{\"MaxHeaderBytes\":16384,"
              "\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
              "\"IdleTimeoutMs\":15000}}");
  Fleet fleet(aFolder, storeAt);
  for (int i = 0; i < 9; ++i) {
    fleet.Add(zones[i / 3], 10 + i / 3, 1 + i % 3 + 10 * (i / 3));
  }
  fleet.StartAll();
  Loop::The().Run(Now() + 15, [&] { return fleet.AllReady(); });
  if (!fleet.AllReady()) {
    throw CannotRun{ "the hosts are not ready" };
  }
  Loop::The().Run(Now() + 5);

  Requesters requesters(fleet, zones);
  std::vector<std::shared_ptr<ClientFlow>> flows;
  std::uint64_t requests = 0;
  const double begin = Now();
  const double end = begin + 8 + 9 * kRollGapS + 8;
  // A kept flow with a request every 2 s.
  std::function<void()> openNext = [&] {
    if (Now() > begin + kOpeningS) {
      return;
    }
    Loop::The().After(kOpenEveryS, openNext);
    const auto holder = std::make_shared<std::shared_ptr<ClientFlow>>();
    const auto ask = std::make_shared<std::function<void()>>();
    *ask = [&, holder] {
      if ((*holder)->m_end != FlowEnd::None) {
        return;
      }
      if (Now() > end - 6) {
        requesters.Close(*holder);
        return;
      }
      requesters.Ask(*holder, "q" + std::to_string(++requests), kBudgetS);
    };
    const auto flow = requesters.Open(
      zones[0],
      route,
      [ask](ClientFlow&) { (*ask)(); },
      [](ClientFlow&) {});
    *holder = flow;
    flow->m_onAnswer = [ask](ClientFlow&, const std::string&) {
      Loop::The().After(kRequestGapS, *ask);
    };
    flows.push_back(flow);
  };
  openNext();
  if (WithTrouble()) {
    for (int i = 0; i < 12; i += 3) {
      Target* target = targets[static_cast<std::size_t>(i)].get();
      Loop::The().At(begin + 0.5, [target] { target->Crash(); });
      Loop::The().At(begin + 0.5 + kDownS + 0.01 * i,
                     [target] { target->Start(kColdMs); });
    }
  }
  for (std::size_t i = 0; i < fleet.Hosts().size(); ++i) {
    Loop::The().At(begin + 8 + static_cast<double>(i) * kRollGapS, [&fleet, i] {
      fleet.Roll(fleet.Hosts()[i]);
    });
  }
  Loop::The().Run(end);

  std::size_t opened = 0;
  std::size_t broken = 0;
  std::size_t inTouch = 0;
  std::size_t late = 0;
  std::size_t answers = 0;
  for (const auto& flow : flows) {
    opened += flow->m_openedAt > 0 ? 1 : 0;
    answers += static_cast<std::size_t>(flow->m_answers);
    late += flow->m_end == FlowEnd::Deadline ? 1 : 0;
    if (flow->m_end != FlowEnd::SystemReset) {
      continue;
    }
    for (const auto& target : targets) {
      if (target->HasOpen(flow->m_local) &&
          flow->m_endedAt - target->StartedAt() > kContactS) {
        ++broken;
        inTouch += flow->m_lastHostUp > kContactS ? 1 : 0;
        Record::The().Line("FLOW: %s was open at %s for %.1f s, which had been "
                           "up for %.1f s, when %s, up for %.1f s, reset it",
                           flow->m_local.Text().c_str(),
                           target->Id().c_str(),
                           flow->m_endedAt - flow->m_openedAt,
                           flow->m_endedAt - target->StartedAt(),
                           flow->m_lastHost.c_str(),
                           flow->m_lastHostUp);
      }
    }
  }
  Record::The().Line("flows: %zu opened, %zu reset by the system while open (%zu "
                     "by a host in touch), %zu ended by a time budget; %zu "
                     "answers; %zu processes ended by themselves",
                     opened, broken, inTouch, late, answers,
                     fleet.UnplannedEnds());
  if (opened == 0 || answers == 0 || fleet.UnplannedEnds() > 0) {
    throw CannotRun{ "no flow was served, or a process ended by itself" };
  }
  return broken == 0;
}

} // namespace

int
main(int argc, char** argv)
{
  return RunCase(argc, argv, Play);
}
