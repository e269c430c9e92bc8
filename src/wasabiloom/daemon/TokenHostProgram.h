/// The program around a TokenHostTask: command line, settings, signals.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/packet/TokenCodec.h"
#include "wasabiloom/registry/RegistryClient.h"

#include <functional>
#include <memory>
#include <string>

namespace wasabiloom::daemon {

/// Parts of the program that depend on the platform it runs on.
struct TokenHostProgram
{
  std::string m_name;
  /// Settings file to use if the command line names none. May be empty.
  std::string m_defaultSettings;
  const packet::TokenCodec& m_codec;
  std::function<std::unique_ptr<registry::RegistryClient>(
    const base::Endpoint&)>
    m_makeRegistry;
  std::string m_readinessPath;
};

/// Runs until a signal stops it and returns the exit code. Call it once, from
/// main.
int
RunTokenHost(const TokenHostProgram& aProgram, int argc, char** argv);

} // namespace wasabiloom::daemon
