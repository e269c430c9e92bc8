/// The operator's command line.

#include "Commands.h"

#include <array>
#include <iostream>
#include <string_view>

namespace {

using wasabiloom::base::Problem;
using wasabiloom::base::Result;
using wasabiloom::base::ResultCode;
using wasabiloom::cli::Words;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

struct Command
{
  std::string_view m_name;
  std::string_view m_usage;
  Result<int> (*m_run)(const Words&);
};

constexpr std::array kCommands = {
  Command{ "keys new", "PREFIX", wasabiloom::cli::KeysNew },
  Command{ "bundle check", "FILE", wasabiloom::cli::BundleCheck },
  Command{ "bundle sign",
           "FILE --key SECRET --out SIGNED",
           wasabiloom::cli::BundleSign },
  Command{ "bundle show", "SIGNED --key PUBLIC", wasabiloom::cli::BundleShow },
  Command{ "bundle diff", "OLD NEW", wasabiloom::cli::BundleDiff },
  Command{ "status", "A.B.C.D:PORT", wasabiloom::cli::Status },
  Command{ "explain",
           "--host A.B.C.D:PORT --caller A.B.C.D:PORT --service A.B.C.D:PORT",
           wasabiloom::cli::Explain },
};

void
PrintUsage(std::ostream& aOut)
{
  aOut << "wasabiloom: operate a wasabiloom fleet\n\n";
  for (const Command& command : kCommands) {
    aOut << "  wasabiloom " << command.m_name << " " << command.m_usage << "\n";
  }
  aOut << "\nExit codes: 0 done, 1 failed, 2 usage, 3 bundles differ\n";
}

/// Command whose name starts `aWords`; its words are taken off.
const Command*
TakeCommand(Words& aWords)
{
  for (const Command& command : kCommands) {
    const auto space = command.m_name.find(' ');
    const std::size_t count = space == std::string_view::npos ? 1 : 2;
    if (aWords.size() < count) {
      continue;
    }
    const std::string name =
      count == 1 ? aWords[0] : aWords[0] + " " + aWords[1];
    if (name == command.m_name) {
      aWords.erase(aWords.begin(),
                   aWords.begin() + static_cast<std::ptrdiff_t>(count));
      return &command;
    }
  }
  return nullptr;
}

int
Report(const Problem& aProblem)
{
  std::cerr << "wasabiloom: " << Describe(aProblem) << "\n";
  return aProblem.m_code == ResultCode::UsageError ? kExitUsage : kExitFailure;
}

} // namespace

int
main(int argc, char** argv)
{
  Words words(argv + 1, argv + argc);
  if (!words.empty() && (words[0] == "--help" || words[0] == "-h")) {
    PrintUsage(std::cout);
    return kExitOk;
  }
  if (!words.empty() && words[0] == "--version") {
    std::cout << "wasabiloom " << WASABILOOM_VERSION << "\n";
    return kExitOk;
  }
  const Command* command = TakeCommand(words);
  if (command == nullptr) {
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  return wasabiloom::base::Handle([&] { return command->m_run(words); },
                                  Report);
}
