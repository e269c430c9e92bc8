/// What the stand-ins share: options, event loop, files that change.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/daemon/UdpSocket.h"

#include <boost/program_options.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/// Options of one stand-in. `main` catches what the constructor throws.
class Options
{
public:
  /// Throws boost::program_options::error on misuse.
  Options(int aCount,
          char** aWords,
          const boost::program_options::options_description& aKnown);

  /// Precondition: the option has a value or a default.
  std::string Text(const std::string& aName) const;
  double Number(const std::string& aName) const;
  /// Throws std::runtime_error when the value is no endpoint.
  wasabiloom::base::Endpoint Address(const std::string& aName) const;

private:
  boost::program_options::variables_map m_chosen;
};

/// Runs `aMain` and turns exceptions into exit code 1.
int
RunMain(const char* aName, const std::function<int()>& aMain);

/// Runs `aBody`; throws std::runtime_error when it fails.
void
Need(const std::function<wasabiloom::base::Result<void>()>& aBody);

/// Content of a file; throws std::runtime_error when it cannot be read.
std::string
ReadFileOrThrow(const std::string& aPath);

/// Replaces a file in one step; throws std::runtime_error on failure.
void
WriteFileOrThrow(const std::string& aPath, const std::string& aContent);

/// One line of the host list file.
struct HostLine
{
  bool m_isBackend = false;
  std::string m_name;
  std::string m_zone;
  std::string m_address;
  bool m_leaving = false;
};

/// Lines `host|backend NAME ZONE ADDRESS live|leaving` of a text.
std::vector<HostLine>
ParseHostLines(const std::string& aText);

/// Bytes of a text.
std::span<const std::byte>
AsBytes(std::string_view aText);

/// Text of bytes.
std::string_view
AsText(std::span<const std::byte> aBytes);

/// Opens a UDP socket; throws std::runtime_error on failure.
std::unique_ptr<wasabiloom::daemon::UdpSocket>
OpenUdp(const wasabiloom::base::Endpoint& aLocal);

} // namespace standins
