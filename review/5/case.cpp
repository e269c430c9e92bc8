/// CONFIG: a version raises the idle timeout above one day. Hosts refuse this
/// version and all later ones that keep the value.
#include "Platform.h"

using namespace standin;

namespace {

constexpr std::int64_t kContactMs = 4000;
constexpr std::int64_t kConfigDeadlineMs = 3000;
constexpr std::int64_t kWeekMs = 604'800'000;
constexpr std::int64_t kUsualMs = 15'000;

} // namespace

int
main(int argc, char** argv)
{
  StartTime();
  if (argc != 2) {
    CannotRun("one argument: the record file");
  }
  const Site site = Site::FromEnvironment();
  Record record(argv[1]);
  Store store;
  store.m_onCall = [&](int aHost, const std::string& aCall) {
    record.Line("store: host %d calls %s", aHost, aCall.c_str());
  };
  for (int i = 1; i <= site.m_hosts; ++i) {
    store.Listen(i, site.At(5, i, site.m_store));
  }
  Targets targets(store, record, site.m_packets);
  const Address kept = site.At(8, 1, 443);
  const Address dropped = site.At(8, 1, 8443);
  std::atomic<std::int64_t> confirmed{ 0 };
  std::atomic<int> broken{ 0 };
  std::atomic<int> served{ 0 };
  const std::int64_t slack = kConfigDeadlineMs + kContactMs;
  targets.m_onArrival = [&](const Arrival& aArrival) {
    if (aArrival.m_route == dropped && !aArrival.m_request.empty() &&
        confirmed > 0 && aArrival.m_opened > confirmed + slack) {
      ++broken;
      record.Line("BROKEN: %s runs %s on the dropped route, %lld ms after the "
                  "version without it was confirmed",
                  aArrival.m_target.c_str(),
                  aArrival.m_request.c_str(),
                  static_cast<long long>(aArrival.m_opened - confirmed));
    }
  };
  const std::string keptRoute = RouteJson("r-kept", kept, "desk");
  const std::string oldRoute = RouteJson("r-old", dropped, "vault");
  store.Write("op/config", ConfigJson(3, keptRoute + "," + oldRoute, kUsualMs));
  for (int i = 1; i <= 9; ++i) {
    char id[32];
    std::snprintf(id, sizeof(id), "i-7f3a91%02x", i);
    targets.Start(id,
                  i <= 6 ? "desk" : "vault",
                  Site::ZoneOf(i),
                  site.At(1, i, 8080),
                  20);
  }
  std::cout << "start" << std::endl;
  Rotation rotation(site.Hosts());
  std::vector<std::unique_ptr<Requester>> requesters;
  for (int i = 1; i <= 3; ++i) {
    requesters.push_back(std::make_unique<Requester>(
      record, rotation, site.At(9, i, site.m_packets), Site::ZoneOf(i)));
    requesters.back()->m_onEnd = [&](const Outcome& aOutcome) {
      served += aOutcome.m_how == "ok" && aOutcome.m_route == kept ? 1 : 0;
    };
  }
  const auto until = [&](std::int64_t aAt) {
    while (NowMs() < aAt) {
      for (const auto& requester : requesters) {
        requester->Ask(kept, 1500);
      }
      SleepMs(100);
    }
  };
  while (!rotation.AllIn()) {
    if (NowMs() > 20'000) {
      CannotRun("hosts are not ready");
    }
    SleepMs(50);
  }
  until(NowMs() + 3000);
  const std::int64_t idle = site.m_trouble ? kWeekMs : 2 * kUsualMs;
  store.Write("op/config", ConfigJson(6, keptRoute + "," + oldRoute, idle));
  record.Line("operator: version 6 sets IdleTimeoutMs to %lld, confirmed",
              static_cast<long long>(idle));
  until(NowMs() + 5000);
  store.Write("op/config", ConfigJson(9, keptRoute, idle));
  record.Line("operator: version 9 drops a route, confirmed");
  confirmed = NowMs();
  until(confirmed + slack + 500);
  const int before = served;
  // A few flows go straight to each host that is ready.
  for (int round = 0; round < 12; ++round) {
    for (std::size_t i = 0; i < rotation.All().size(); ++i) {
      if (rotation.IsIn(i)) {
        requesters[i % 3]->Ask(dropped, 1500, &rotation.All()[i]);
      }
    }
    until(NowMs() + 1000);
  }
  SleepMs(1600);
  record.Line("result: %d requests of the dropped route were run, the last "
              "ones %lld ms after the confirmation; %d others were served "
              "meanwhile",
              broken.load(),
              static_cast<long long>(NowMs() - confirmed),
              served - before);
  if (served - before < 50) {
    CannotRun("traffic was not served");
  }
  std::_Exit(broken > 0 ? 1 : 0);
}
