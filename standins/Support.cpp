#include "Support.h"

#include "wasabiloom/base/Files.h"

#include <iostream>
#include <sstream>
#include <stdexcept>

namespace standins {

namespace options = boost::program_options;

using wasabiloom::base::Problem;

namespace {

template<typename T>
T
Throw(const Problem& aProblem)
{
  throw std::runtime_error(Describe(aProblem));
}

} // namespace

Options::Options(int aCount,
                 char** aWords,
                 const options::options_description& aKnown)
{
  options::store(options::parse_command_line(aCount, aWords, aKnown), m_chosen);
  options::notify(m_chosen);
}

std::string
Options::Text(const std::string& aName) const
{
  return m_chosen[aName].as<std::string>();
}

double
Options::Number(const std::string& aName) const
{
  return m_chosen[aName].as<double>();
}

wasabiloom::base::Endpoint
Options::Address(const std::string& aName) const
{
  const auto endpoint = wasabiloom::base::ParseEndpoint(Text(aName));
  if (!endpoint) {
    throw std::runtime_error("--" + aName + ": expected A.B.C.D:PORT");
  }
  return *endpoint;
}

int
RunMain(const char* aName, const std::function<int()>& aMain)
{
  try {
    return aMain();
  } catch (const std::exception& failure) {
    std::cerr << aName << ": " << failure.what() << "\n";
    return 1;
  }
}

void
Need(const std::function<wasabiloom::base::Result<void>()>& aBody)
{
  wasabiloom::base::Handle(aBody, Throw<void>);
}

std::string
ReadFileOrThrow(const std::string& aPath)
{
  return wasabiloom::base::Handle(
    [&] { return wasabiloom::base::ReadFile(aPath); }, Throw<std::string>);
}

void
WriteFileOrThrow(const std::string& aPath, const std::string& aContent)
{
  Need([&] { return wasabiloom::base::WriteFile(aPath, aContent); });
}

std::vector<HostLine>
ParseHostLines(const std::string& aText)
{
  std::istringstream words(aText);
  std::vector<HostLine> lines;
  HostLine line;
  std::string kind;
  std::string state;
  while (words >> kind >> line.m_name >> line.m_zone >> line.m_address >>
         state) {
    line.m_isBackend = kind == "backend";
    line.m_leaving = state == "leaving";
    lines.push_back(line);
  }
  return lines;
}

std::span<const std::byte>
AsBytes(std::string_view aText)
{
  return std::as_bytes(std::span(aText.data(), aText.size()));
}

std::string_view
AsText(std::span<const std::byte> aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

std::unique_ptr<wasabiloom::daemon::UdpSocket>
OpenUdp(const wasabiloom::base::Endpoint& aLocal)
{
  using Socket = std::unique_ptr<wasabiloom::daemon::UdpSocket>;
  return wasabiloom::base::Handle(
    [&] { return wasabiloom::daemon::UdpSocket::Bind(aLocal); }, Throw<Socket>);
}

} // namespace standins
