/// Runs a scenario file and prints its measures. Exit codes: 0 every promise
/// and expectation held, 1 one did not, 2 usage.

#include "EventQueue.h"
#include "Runner.h"

#include "wasabiloom/base/Files.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <map>

namespace {

namespace options = boost::program_options;

using namespace wasabiloom;
using base::Result;
using scenario::Measures;
using scenario::Policy;
using scenario::Script;

constexpr int kExitOk = 0;
constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;

const std::map<std::string, Policy> kPolicies = {
  { "owned_windows", Policy::OwnedWindows },
  { "table_only", Policy::TableOnly },
  { "flow_cache", Policy::FlowCache },
  { "timed_epochs", Policy::TimedEpochs },
};

Result<Script>
Load(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, base::ReadFile(aPath));
  return scenario::ParseScript(text);
}

void
PrintViolations(const Measures& aMeasures)
{
  for (const auto& violation : aMeasures.Violations()) {
    const std::chrono::duration<double> at =
      violation.m_at - scenario::kScenarioStart;
    std::cout << "violation " << violation.m_promise << " at " << at.count()
              << "s: " << violation.m_detail << "\n";
  }
}

Result<int>
Run(const Script& aScript, Policy aPolicy, bool aTrace)
{
  BOOST_LEAF_AUTO(measures, RunScript(aScript, aPolicy, std::nullopt));
  std::cout << measures.Text();
  PrintViolations(measures);
  const auto unmet = Unmet(aScript, measures);
  for (const std::string& line : unmet) {
    std::cout << line << "\n";
  }
  const bool held = measures.Violations().empty() && unmet.empty();
  if (!held && aTrace && !measures.Violations().empty() &&
      measures.Violations().front().m_flow >= 0) {
    BOOST_LEAF_CHECK(
      RunScript(aScript, aPolicy, measures.Violations().front().m_flow));
  }
  std::cout << (held ? "held" : "BROKEN") << "\n";
  return held ? kExitOk : kExitBroken;
}

} // namespace

int
main(int argc, char** argv)
{
  options::options_description known("wasabiloom_scenario FILE");
  known.add_options()("help,h", "print this text")(
    "file", options::value<std::string>()->required(), "scenario file")(
    "policy",
    options::value<std::string>()->default_value("owned_windows"),
    "owned_windows, table_only, flow_cache or timed_epochs")(
    "seed", options::value<std::uint64_t>(), "replaces the file's seed")(
    "trace", "on a violation, print what concerned the first broken flow");
  options::positional_options_description positional;
  positional.add("file", 1);
  options::variables_map chosen;
  try {
    options::store(options::command_line_parser(argc, argv)
                     .options(known)
                     .positional(positional)
                     .run(),
                   chosen);
    options::notify(chosen);
  } catch (const options::error& failure) {
    std::cerr << failure.what() << "\n" << known;
    return kExitUsage;
  }
  const auto policy = kPolicies.find(chosen["policy"].as<std::string>());
  if (policy == kPolicies.end()) {
    std::cerr << known;
    return kExitUsage;
  }
  return base::Handle(
    [&]() -> Result<int> {
      BOOST_LEAF_AUTO(script, Load(chosen["file"].as<std::string>()));
      Script seeded = script;
      if (chosen.contains("seed")) {
        seeded.m_seed = chosen["seed"].as<std::uint64_t>();
      }
      return Run(seeded, policy->second, chosen.contains("trace"));
    },
    [](const base::Problem& aProblem) {
      std::cerr << Describe(aProblem) << "\n";
      return kExitUsage;
    });
}
