/// CONFIG: a route that a configuration dropped is served on by hosts that were
/// told of the new version by a host that had listed the store again.
#include "Platform.h"

using namespace standin;

namespace {

constexpr std::int64_t kContactMs = 4000;
constexpr std::int64_t kConfigDeadlineMs = 3000;
constexpr std::int64_t kOuterMs = 12000;

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
  // The host that reads for the others: its watches wait. It is stopped as it
  // asks, right after it has passed on what it was told before.
  std::atomic<bool> armed{ false };
  std::atomic<int> frozen{ 0 };
  std::atomic<std::int64_t> began{ 0 };
  store.m_onCall = [&](int aHost, const std::string& aCall) {
    const bool waits = aCall.find("WaitMs=") != std::string::npos &&
                       !aCall.ends_with("WaitMs=0");
    if (waits && armed.exchange(false)) {
      if (site.m_trouble) {
        site.Signal(aHost, SIGSTOP);
        record.Line("fault: host %d stands still", aHost);
      }
      frozen = aHost;
      began = NowMs();
    }
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
  const std::int64_t slack = kConfigDeadlineMs + kOuterMs + kContactMs;
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
  store.Write("op/config", ConfigJson(3, keptRoute));
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
  armed = true;
  while (began == 0) {
    if (NowMs() > 30'000) {
      CannotRun("no host reads for the others");
    }
    SleepMs(2);
  }
  // While the reader stands still, the others read about every 1.8 s.
  until(began + 3350);
  const std::uint64_t added =
    store.Write("op/config",
                ConfigJson(9, keptRoute + "," +
                                RouteJson("r-new", dropped, "vault")));
  record.Line("operator: version 9 adds a route, confirmed");
  const auto isKnown = [&] {
    for (int i = 1; i <= site.m_hosts; ++i) {
      if ((i != frozen || !site.m_trouble) && store.AnsweredTo(i) >= added) {
        return true;
      }
    }
    return false;
  };
  while (!isKnown() && NowMs() < began + 8000) {
    SleepMs(2);
  }
  SleepMs(60);
  store.Write("op/config", ConfigJson(14, keptRoute));
  confirmed = NowMs();
  record.Line("operator: version 14 drops the route again, confirmed");
  if (site.m_trouble) {
    store.Forget();
    record.Line("fault: the store forgets its history");
    site.Signal(frozen, SIGCONT);
    record.Line("host %d wakes after %lld ms",
                frozen.load(),
                static_cast<long long>(NowMs() - began));
  }
  until(confirmed + slack + 500);
  const int before = served;
  // A few flows go straight to each host that is ready.
  for (int round = 0; round < 12; ++round) {
    for (std::size_t i = 0; i < rotation.All().size(); ++i) {
      if (rotation.IsIn(i)) {
        requesters[i % 3]->Ask(dropped, 1500, &rotation.All()[i]);
      }
    }
    until(NowMs() + 500);
  }
  SleepMs(1600);
  record.Line("result: %d requests of the dropped route were run, %d others "
              "were served meanwhile",
              broken.load(),
              served - before);
  if (served - before < 50) {
    CannotRun("traffic was not served");
  }
  std::_Exit(broken > 0 ? 1 : 0);
}
