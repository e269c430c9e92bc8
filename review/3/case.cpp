/// DRAIN: all hosts are killed and start again just after a target has said that
/// it leaves. They list the store by reads with StaleOk, whose pages are of
/// different age, and take the target for ready until it has ended.
#include "Platform.h"

using namespace standin;

namespace {

constexpr std::int64_t kContactMs = 4000;
constexpr std::int64_t kDrainMs = 3000;
/// Time for which the target serves on after the store has its farewell.
constexpr std::int64_t kServesOnMs = 14'000;
/// Two copies of the store answer reads with StaleOk in turn, this old.
constexpr std::int64_t kOlderMs = 2000;

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
  store.m_pageItems = 50;
  store.m_staleMs = [](int aRead) { return aRead % 2 == 0 ? 0 : kOlderMs; };
  store.m_onCall = [&](int aHost, const std::string& aCall) {
    record.Line("store: host %d calls %s", aHost, aCall.c_str());
  };
  for (int i = 1; i <= site.m_hosts; ++i) {
    store.Listen(i, site.At(5, i, site.m_store));
  }
  Targets targets(store, record, site.m_packets);
  const Address route = site.At(8, 1, 443);
  const std::string leaving = "i-7f3a913c";
  std::atomic<std::int64_t> drained{ 0 };
  std::atomic<std::int64_t> inTouch{ 0 };
  std::atomic<int> broken{ 0 };
  std::atomic<int> served{ 0 };
  targets.m_onArrival = [&](const Arrival& aArrival) {
    if (!aArrival.m_request.empty() && aArrival.m_target == leaving &&
        drained > 0 && aArrival.m_opened > drained + kDrainMs &&
        aArrival.m_opened > inTouch + 100) {
      ++broken;
      record.Line("BROKEN: %s runs %s; its opening packet came from %s %lld ms "
                  "after the store had accepted that the target is draining",
                  aArrival.m_target.c_str(),
                  aArrival.m_request.c_str(),
                  Text(aArrival.m_host).c_str(),
                  static_cast<long long>(aArrival.m_opened - drained));
    }
  };
  store.Write("op/config",
              ConfigJson(3,
                         RouteJson("r-desk", route, "desk") + "," +
                           RouteJson("r-vault", site.At(8, 1, 8443), "vault")));
  // 60 targets, more than a page holds.
  for (int i = 1; i <= 60; ++i) {
    char id[32];
    std::snprintf(id, sizeof(id), "i-7f3a91%02x", i);
    targets.Start(id,
                  i <= 50 ? "vault" : "desk",
                  Site::ZoneOf(i),
                  site.At(1, i, 8080),
                  400);
  }
  SleepMs(kOlderMs + 1500);
  std::cout << "start" << std::endl;
  Rotation rotation(site.Hosts());
  std::vector<std::unique_ptr<Requester>> requesters;
  for (int i = 1; i <= 3; ++i) {
    requesters.push_back(std::make_unique<Requester>(
      record, rotation, site.At(9, i, site.m_packets), Site::ZoneOf(i)));
    requesters.back()->m_onEnd = [&](const Outcome& aOutcome) {
      served += aOutcome.m_how == "ok" ? 1 : 0;
    };
  }
  const auto until = [&](std::int64_t aAt) {
    while (NowMs() < aAt) {
      for (const auto& requester : requesters) {
        requester->Ask(route, 1500);
      }
      SleepMs(100);
    }
  };
  while (!rotation.AllIn()) {
    if (NowMs() > 25'000) {
      CannotRun("hosts are not ready");
    }
    SleepMs(50);
  }
  until(NowMs() + 3000);
  targets.Drain(leaving);
  drained = NowMs();
  inTouch = drained.load();
  until(drained + 300);
  if (site.m_trouble) {
    for (int i = 1; i <= site.m_hosts; ++i) {
      site.Signal(i, SIGKILL);
    }
    record.Line("fault: all hosts are killed");
    until(NowMs() + 600);
    for (int i = 1; i <= site.m_hosts; ++i) {
      std::cout << "again " << i << std::endl;
    }
    record.Line("all hosts start again");
    inTouch = NowMs() + kContactMs;
  }
  until(drained + kServesOnMs);
  const int cut = targets.End(leaving);
  const int before = served;
  until(NowMs() + 3000);
  SleepMs(1600);
  record.Line("result: %d requests came to the draining target too late, %d of "
              "them were cut when it ended; %d requests were served in the 3 s "
              "after that",
              broken.load(),
              cut,
              served - before);
  if (served - before < 30) {
    CannotRun("traffic was not served");
  }
  std::_Exit(broken > 0 ? 1 : 0);
}
