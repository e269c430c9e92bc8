/// CONFIG: after the store was down for some seconds and has lost its history,
/// no host lists it again, so that nothing that is written later takes effect.
#include "Platform.h"

using namespace standin;

namespace {

constexpr std::int64_t kContactMs = 4000;
constexpr std::int64_t kConfigDeadlineMs = 3000;
constexpr std::int64_t kOuterMs = 12000;
constexpr std::int64_t kDrainMs = 3000;
constexpr std::int64_t kDownMs = 4500;

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
  const std::string leaving = "i-7f3a9101";
  std::atomic<std::int64_t> confirmed{ 0 };
  std::atomic<std::int64_t> drained{ 0 };
  std::atomic<int> broken{ 0 };
  std::atomic<int> lateAtDraining{ 0 };
  std::atomic<int> served{ 0 };
  // The longest that the pages allow for a version: the deadline, stretched by
  // a store that is not stable, and the time until hosts are in touch.
  const std::int64_t slack = kConfigDeadlineMs + kOuterMs + kContactMs;
  targets.m_onArrival = [&](const Arrival& aArrival) {
    const bool runs = !aArrival.m_request.empty();
    if (runs && aArrival.m_route == dropped && confirmed > 0 &&
        aArrival.m_opened > confirmed + slack) {
      ++broken;
      record.Line("BROKEN CONFIG: %s runs %s on the dropped route, %lld ms "
                  "after the version without it was confirmed",
                  aArrival.m_target.c_str(),
                  aArrival.m_request.c_str(),
                  static_cast<long long>(aArrival.m_opened - confirmed));
    }
    if (runs && aArrival.m_target == leaving && drained > 0 &&
        aArrival.m_opened > drained + kDrainMs) {
      ++lateAtDraining;
      record.Line("also DRAIN: %s runs %s, opened %lld ms after the store had "
                  "accepted that it is draining",
                  aArrival.m_target.c_str(),
                  aArrival.m_request.c_str(),
                  static_cast<long long>(aArrival.m_opened - drained));
    }
  };
  const std::string keptRoute = RouteJson("r-kept", kept, "desk");
  const std::string oldRoute = RouteJson("r-old", dropped, "vault");
  store.Write("op/config", ConfigJson(3, keptRoute + "," + oldRoute));
  for (int i = 1; i <= 9; ++i) {
    char id[32];
    std::snprintf(id, sizeof(id), "i-7f3a91%02x", i);
    targets.Start(id,
                  i <= 6 ? "desk" : "vault",
                  Site::ZoneOf(i),
                  site.At(1, i, 8080),
                  100);
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
  if (site.m_trouble) {
    store.SetDown(true);
    record.Line("fault: the store is down");
    until(NowMs() + kDownMs);
  }
  store.Write("op/config", ConfigJson(9, keptRoute));
  confirmed = NowMs();
  record.Line("operator: version 9 drops a route, confirmed");
  if (site.m_trouble) {
    store.Forget();
    store.SetDown(false);
    record.Line("the store is back, without its history");
  }
  // A target leaves when the store has been stable for longer than ContactMs.
  until(confirmed + kContactMs + 2000);
  targets.Drain(leaving);
  drained = NowMs();
  until(drained + kDrainMs + 4000);
  const int cut = targets.End(leaving);
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
  record.Line("result: %d requests of the dropped route were run; %d requests "
              "came to a draining target too late, %d of them were cut when it "
              "ended; %d others were served in the last 6 s",
              broken.load(),
              lateAtDraining.load(),
              cut,
              served - before);
  if (served - before < 50) {
    CannotRun("traffic was not served");
  }
  std::_Exit(broken > 0 ? 1 : 0);
}
