#include "Runner.h"

#include "EventQueue.h"
#include "Fleet.h"
#include "FlowLoad.h"
#include "RequestLoad.h"
#include "Site.h"

#include <functional>
#include <map>

namespace wasabiloom::scenario {

namespace {

using base::Result;
using base::ResultCode;
using Words = std::vector<std::string>;

/// Everything that takes part in one run.
class Run final : private FleetListener
{
public:
  Run(const Script& aScript, Policy aPolicy)
    : m_script(aScript)
    , m_site(aScript)
    , m_fleet(aScript, aPolicy, m_site, m_queue, m_measures, aScript.m_seed)
    , m_flows(aScript, m_site, m_fleet, m_queue, m_measures, aScript.m_seed + 1)
    , m_requests(aScript,
                 m_site,
                 m_fleet,
                 m_queue,
                 m_measures,
                 aScript.m_seed + 2)
  {
    m_fleet.SetListener(*this);
  }

  Result<Measures> Execute(std::optional<std::int64_t> aTracedFlow)
  {
    for (int host = 0; host < m_fleet.Size(); ++host) {
      m_fleet.Start(host);
    }
    m_queue.RunUntil(m_queue.Now() + kWarmUp);
    m_flows.Start();
    m_requests.Start();
    for (const Step& step : m_script.m_steps) {
      m_queue.After(step.m_at, [this, step] { Perform(step); });
    }
    if (aTracedFlow) {
      m_traced = *aTracedFlow;
    }
    const auto end = m_queue.Now() + m_script.m_length;
    while (m_queue.Now() < end) {
      StartTrace();
      m_queue.RunUntil(
        std::min(end, m_queue.Now() + base::Duration(kTraceStep)));
    }
    if (!m_problem.empty()) {
      return base::Fail(ResultCode::UsageError, m_problem);
    }
    m_measures.Set("hosts_ready_at_end", m_fleet.IsSettled() ? 1 : 0);
    m_fleet.Summarize();
    m_flows.Summarize();
    m_requests.Summarize();
    return m_measures;
  }

private:
  static constexpr std::chrono::milliseconds kTraceStep{ 10 };
  static constexpr std::chrono::milliseconds kReportDelay{ 5 };

  void StartTrace()
  {
    const double asked = m_measures.Value("flows_asked");
    if (m_traced < 0 || asked <= static_cast<double>(m_traced)) {
      return;
    }
    const packet::FlowKey key = m_flows.KeyOf(m_traced);
    const std::uint64_t hash = packet::HashFlow(key);
    for (const bundle::Service& service : m_site.Bundle().m_services) {
      if (service.m_address == key.m_service) {
        m_fleet.Trace().Start(
          m_traced,
          { steering::MakeServiceId(service.m_name), steering::ShardOf(hash) });
      }
    }
    m_traced = -1;
  }

  void OnForwarded(const TravellingPacket& aPacket,
                   const base::Endpoint& aTo,
                   const std::string& aHost) override
  {
    m_flows.OnForwarded(aPacket.m_tag, aTo, aHost);
  }
  void OnLost(const TravellingPacket& aPacket, const std::string& aWhy) override
  {
    if (aPacket.m_tag < kFirstRequestTag) {
      m_flows.OnLost(aPacket.m_tag, aWhy);
    }
  }
  void OnBackendDatagram(const base::Endpoint& aTo,
                         const request::Envelope& aEnvelope,
                         int aHost) override
  {
    m_requests.OnBackendDatagram(aTo, aEnvelope, aHost);
  }
  void OnProbe(const steering::ServiceId& aService,
               const steering::TargetId& aTarget,
               const base::Endpoint& aStatus,
               int aHost) override
  {
    const auto* target = m_site.TargetWithAddress(aStatus.m_address);
    if (target == nullptr || m_flows.IsDead(target->m_name)) {
      return;
    }
    const auto lie = m_lies.find(target->m_name);
    const std::uint32_t flows =
      lie == m_lies.end() ? m_flows.OpenOn(target->m_name) : lie->second;
    const health::TargetReport report{ aTarget,
                                       flows,
                                       health::WarmupState::Warm };
    m_queue.After(kReportDelay, [this, aHost, aService, report] {
      m_fleet.SendReport(aHost, aService, report);
    });
  }
  void OnCallerDatagram(const packet::FlowKey& /*aFlow*/,
                        const request::Envelope& aEnvelope) override
  {
    m_requests.OnCallerDatagram(aEnvelope);
  }

  /// Index of the host named by a word such as "h3".
  int HostOf(const std::string& aWord)
  {
    for (int host = 0; host < m_fleet.Size(); ++host) {
      if (HostName(host) == aWord) {
        return host;
      }
    }
    m_problem = "expected a host, found \"" + aWord + "\"";
    return 0;
  }

  base::Duration TimeOf(const std::string& aWord)
  {
    return base::Handle([&] { return ParseDuration(aWord); },
                        [&](const base::Problem& aProblem) {
                          m_problem = aProblem.m_detail;
                          return base::Duration(0);
                        });
  }

  void PublishBundle()
  {
    m_site.NextVersion();
    m_fleet.PublishBundle();
  }

  void PublishList()
  {
    m_site.NextRevision();
    m_fleet.PublishList();
  }

  void SetWeight(const Words& aWords)
  {
    bundle::Target* target = m_site.FindTarget(aWords.at(1));
    if (target != nullptr) {
      target->m_weight = static_cast<std::uint32_t>(std::stoul(aWords.at(2)));
    }
    PublishBundle();
  }

  void SetZone(const Words& aWords)
  {
    const auto state =
      aWords.at(2) == "out" ? bundle::ZoneState::Out : bundle::ZoneState::In;
    if (!m_site.SetZone(aWords.at(1), state, m_queue.Now())) {
      m_problem = "expected a zone, found \"" + aWords.at(1) + "\"";
    }
    m_flows.OnZonesChanged();
    PublishBundle();
  }

  void CutZone(const std::string& aZone)
  {
    std::set<int> inside;
    std::set<int> outside;
    for (int host = 0; host < m_fleet.Size(); ++host) {
      (m_fleet.ZoneOf(host) == aZone ? inside : outside).insert(host);
    }
    m_fleet.GetLinks().Cut(inside, outside);
  }

  void CutHosts(const Words& aWords)
  {
    std::set<int> inside;
    std::set<int> outside;
    for (int host = 0; host < m_fleet.Size(); ++host) {
      outside.insert(host);
    }
    for (std::size_t i = 1; i < aWords.size(); ++i) {
      inside.insert(HostOf(aWords[i]));
      outside.erase(HostOf(aWords[i]));
    }
    m_fleet.GetLinks().Cut(inside, outside);
  }

  using Verb = std::function<void(const Words&)>;

  const std::map<std::string, Verb>& Verbs()
  {
    if (!m_verbs.empty()) {
      return m_verbs;
    }
    m_verbs["drain"] = [this](const Words& aWords) {
      m_site.SetLeaving(aWords.at(1), true, m_queue.Now());
      PublishBundle();
    };
    m_verbs["return"] = [this](const Words& aWords) {
      m_site.SetLeaving(aWords.at(1), false, m_queue.Now());
      PublishBundle();
      PublishList();
    };
    m_verbs["list_leaving"] = [this](const Words& aWords) {
      m_site.SetListedLeaving(aWords.at(1), m_queue.Now());
      PublishList();
    };
    m_verbs["add"] = [this](const Words& aWords) {
      m_site.AddTarget(aWords.at(1));
      PublishBundle();
    };
    m_verbs["weight"] = [this](const Words& aWords) { SetWeight(aWords); };
    m_verbs["zone"] = [this](const Words& aWords) { SetZone(aWords); };
    m_verbs["lie"] = [this](const Words& aWords) {
      const auto flows = static_cast<std::uint32_t>(std::stoul(aWords.at(2)));
      m_lies[aWords.at(1)] = flows;
    };
    m_verbs["kill_target"] = [this](const Words& aWords) {
      m_flows.OnTargetKilled(aWords.at(1));
    };
    m_verbs["kill"] = [this](const Words& aWords) {
      m_fleet.Kill(HostOf(aWords.at(1)));
    };
    m_verbs["stop"] = [this](const Words& aWords) {
      m_fleet.Stop(HostOf(aWords.at(1)));
    };
    m_verbs["start"] = [this](const Words& aWords) {
      m_fleet.Start(HostOf(aWords.at(1)));
    };
    m_verbs["pause"] = [this](const Words& aWords) {
      m_fleet.Pause(HostOf(aWords.at(1)), TimeOf(aWords.at(2)));
    };
    m_verbs["lag"] = [this](const Words& aWords) {
      m_fleet.SetLag(HostOf(aWords.at(1)), TimeOf(aWords.at(2)));
    };
    m_verbs["cut_zone"] = [this](const Words& aWords) {
      CutZone(aWords.at(1));
    };
    m_verbs["cut"] = [this](const Words& aWords) { CutHosts(aWords); };
    m_verbs["duplicate"] = [this](const Words& aWords) {
      constexpr double kPercent = 100;
      m_fleet.SetDuplication(std::stod(aWords.at(1)) / kPercent);
    };
    m_verbs["heal"] = [this](const Words&) { m_fleet.GetLinks().Heal(); };
    m_verbs["platform"] = [this](const Words& aWords) {
      m_fleet.SetPlatformUp(aWords.at(1) == "up");
    };
    return m_verbs;
  }

  void Perform(const Step& aStep)
  {
    const auto verb = Verbs().find(aStep.m_words.front());
    if (verb == Verbs().end()) {
      m_problem = "expected a verb, found \"" + aStep.m_words.front() + "\"";
    } else {
      verb->second(aStep.m_words);
    }
    if (!m_problem.empty() && !m_problem.starts_with("line")) {
      m_problem = "line " + std::to_string(aStep.m_line) + ": " + m_problem;
    }
  }

  const Script& m_script;
  EventQueue m_queue;
  Measures m_measures;
  Site m_site;
  Fleet m_fleet;
  FlowLoad m_flows;
  RequestLoad m_requests;
  std::map<std::string, Verb> m_verbs;
  std::map<std::string, std::uint32_t> m_lies;
  std::string m_problem;
  std::int64_t m_traced = -1;
};

bool
Holds(const Expectation& aExpectation, double aValue)
{
  if (aExpectation.m_relation == "=") {
    return aValue == aExpectation.m_bound;
  }
  return aExpectation.m_relation == "<=" ? aValue <= aExpectation.m_bound
                                         : aValue >= aExpectation.m_bound;
}

} // namespace

Result<Measures>
RunScript(const Script& aScript,
          Policy aPolicy,
          std::optional<std::int64_t> aTracedFlow)
{
  return Run(aScript, aPolicy).Execute(aTracedFlow);
}

std::vector<std::string>
Unmet(const Script& aScript, const Measures& aMeasures)
{
  std::vector<std::string> lines;
  for (const Expectation& expectation : aScript.m_expectations) {
    const double value = aMeasures.Value(expectation.m_measure);
    if (!Holds(expectation, value)) {
      lines.push_back("line " + std::to_string(expectation.m_line) +
                      ": expected " + expectation.m_measure + " " +
                      expectation.m_relation + " " +
                      std::to_string(expectation.m_bound) + ", found " +
                      std::to_string(value));
    }
  }
  return lines;
}

} // namespace wasabiloom::scenario
