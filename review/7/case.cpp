/// FLOW: hosts are stopped and started in turn while versions of the
/// configuration add routes. Flows on the new routes are open at living,
/// undisturbed targets; none may get a reset of the system.

#include "../standin-2/Site.h"

using namespace site;

namespace {

constexpr double kRollGapS = 2.0;
/// A version of the configuration follows each stop of a host after a time drawn
/// between these.
constexpr double kVersionFromS = 0.35;
constexpr double kVersionToS = 0.6;
constexpr double kRequestGapS = 0.15;
constexpr double kBudgetS = 1.2;
constexpr double kFlowLifeS = 3.0;
constexpr double kContactS = 4.0;
constexpr int kFlowsAZone = 12;
constexpr double kRollsS = 72;

/// The host whose log names the latest change that the store told it itself.
Host*
LastReader(Fleet& aFleet)
{
  Host* reader = &aFleet.Hosts().front();
  std::string latest;
  for (Host& host : aFleet.Hosts()) {
    std::ifstream log(host.m_log);
    std::string at;
    for (std::string line; std::getline(log, line);) {
      if (line.find("event=fact_adopted kind=configuration") !=
          std::string::npos) {
        at = line.substr(0, line.find(' '));
      }
    }
    if (at > latest) {
      latest = at;
      reader = &host;
    }
  }
  return reader;
}

bool
Play(const std::string& aFolder)
{
  const std::vector<std::string> zones{ "shore-1", "shore-2", "shore-3" };
  const Address storeAt{ Ip(250, 1), 8169 };
  Store store(storeAt);
  std::vector<Run> runs;
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 0; i < 6; ++i) {
    char id[32];
    std::snprintf(id, sizeof(id), "i-%08x", 0x7f3a9100 + i);
    targets.push_back(std::make_unique<Target>(
      store, id, "reserve", zones[i % 3], Address{ Ip(1, 10 + i), 9000 }, runs));
    targets.back()->Start();
  }
  std::vector<std::string> routes;
  int version = 1;
  const auto address = [](std::size_t aNumber) {
    return Address{ Ip(200, 1), static_cast<std::uint16_t>(8000 + aNumber) };
  };
  const auto publish = [&] {
    const Address at = address(routes.size());
    routes.push_back(
      "{\"Name\":\"r-" + std::to_string(routes.size()) + "\",\"Host\":\"" +
      at.Ip() + "\",\"Prefix\":\"/" + std::to_string(at.m_port) +
      "/\",\"Kind\":\"safe\",\"TimeoutMs\":1200,\"LatencyGoalMs\":120,"
      "\"Priority\":2,\"Service\":\"reserve\",\"MaxAttempts\":2}");
    std::string all;
    for (const std::string& route : routes) {
      all += (all.empty() ? "" : ",") + route;
    }
    version += 3;
    store.Put("op/config",
              "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" + all +
                "],\"Services\":[{\"Name\":\"reserve\",\"HealthPath\":\"/health\","
                "\"ConnectionLimit\":2000,\"Protocol\":\"h1\",\"Tls\":false,"
                "\"ColdStartS\":2.0,\"ColdPerS\":0.0}],\"Limits\":{"
                "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
                "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}");
    return at;
  };
  publish();
  Fleet fleet(aFolder, storeAt);
  for (int i = 0; i < 9; ++i) {
    fleet.Add(zones[i / 3], 10 + i / 3, 1 + i % 3 + 10 * (i / 3));
  }
  fleet.StartAll();
  Loop::The().Run(Now() + 15, [&] { return fleet.AllReady(); });
  if (!fleet.AllReady()) {
    throw CannotRun{ "the hosts are not ready" };
  }
  Loop::The().Run(Now() + 6);

  Requesters requesters(fleet, zones);
  std::vector<std::shared_ptr<ClientFlow>> flows;
  std::uint64_t requests = 0;
  const double begin = Now();
  const double rollsEnd = begin + kRollsS;

  // One flow: opened, used each kRequestGapS, closed after kFlowLifeS. A
  // refused attempt is repeated from a new port for 3 s.
  std::function<void(const std::string&, Address, double)> openFlow =
    [&](const std::string& aZone, Address aRoute, double aUntil) {
      const auto holder = std::make_shared<std::shared_ptr<ClientFlow>>();
      const auto ask = std::make_shared<std::function<void()>>();
      *ask = [&, holder] {
        const auto flow = *holder;
        if (flow->m_end != FlowEnd::None) {
          return;
        }
        if (Now() - flow->m_openedAt > kFlowLifeS) {
          requesters.Close(flow);
          return;
        }
        requesters.Ask(flow, "q" + std::to_string(++requests), kBudgetS);
      };
      const auto flow = requesters.Open(
        aZone,
        aRoute,
        [&, ask](ClientFlow&) { Loop::The().After(0.01, *ask); },
        [&, aZone, aRoute, aUntil](ClientFlow& aFlow) {
          const bool opened = aFlow.m_openedAt > 0;
          if (!opened && Now() < aUntil) {
            Loop::The().After(0.1, [&, aZone, aRoute, aUntil] {
              openFlow(aZone, aRoute, aUntil);
            });
          }
        });
      *holder = flow;
      flow->m_onAnswer = [ask](ClientFlow&, const std::string&) {
        Loop::The().After(kRequestGapS, *ask);
      };
      flows.push_back(flow);
    };

  const auto publishNext = [&] {
    const Address route = publish();
    Loop::The().After(0.02, [&, route] {
      for (const std::string& zone : zones) {
        for (int i = 0; i < kFlowsAZone; ++i) {
          openFlow(zone, route, Now() + 3);
        }
      }
    });
  };
  // The machines of a zone in turn, first the one that read the store last.
  std::function<void()> rollZone = [&] {
    std::vector<Host*> order;
    Host* reader = LastReader(fleet);
    for (Host& host : fleet.Hosts()) {
      if (host.m_zone == reader->m_zone && &host != reader) {
        order.push_back(&host);
      }
    }
    std::ranges::shuffle(order, Random());
    order.insert(order.begin(), reader);
    double after = 0;
    for (Host* host : order) {
      Loop::The().After(after, [&fleet, host] {
        if (WithTrouble() && host->m_pid > 0 && !host->m_stopping) {
          fleet.Roll(*host);
        }
      });
      Loop::The().After(after + Uniform(kVersionFromS, kVersionToS), publishNext);
      after += kRollGapS;
    }
    if (Now() + 2 * after < rollsEnd) {
      Loop::The().After(after, rollZone);
    }
  };
  rollZone();
  Loop::The().Run(rollsEnd + 4);

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
    // The flow counts if its target has it open, and lives undisturbed.
    for (const auto& target : targets) {
      if (target->HasOpen(flow->m_local)) {
        ++broken;
        inTouch += flow->m_lastHostUp > kContactS ? 1 : 0;
        Record::The().Line("FLOW: %s was open at %s for %.3f s when %s, up for "
                           "%.1f s, reset it",
                           flow->m_local.Text().c_str(),
                           target->Id().c_str(),
                           flow->m_endedAt - flow->m_openedAt,
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
