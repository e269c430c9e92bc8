/// HTTP endpoint from which other hosts fetch this host's registry facts.
#pragma once

#include "wasabiloom/daemon/HttpServer.h"
#include "wasabiloom/token/TokenHost.h"

#include <string>

namespace wasabiloom::daemon {

/// Time for which the encoded facts are cached. Many hosts may request them at
/// the same time.
constexpr base::Duration kPackedLife = std::chrono::milliseconds(300);

/// Caches the last response. Use it on the thread that created it.
class FactsEndpoint
{
public:
  /// `aHost` must outlive the endpoint.
  explicit FactsEndpoint(const token::TokenHost& aHost);

  /// Returns the response to a request for `aPath`. Its query may name the
  /// revision that the requesting host has.
  HttpReply Answer(const std::string& aPath, base::Instant aNow);

private:
  std::string PackAll(base::Instant aNow);

  const token::TokenHost& m_host;
  std::string m_packed;
  registry::RegistryRevision m_packedRevision;
  base::Instant m_packedAt;
};

} // namespace wasabiloom::daemon
