/// Answers hosts that ask for the facts this host knows.
#pragma once

#include "wasabiloom/daemon/HttpServer.h"
#include "wasabiloom/token/TokenHost.h"

#include <string>

namespace wasabiloom::daemon {

/// All facts stay packed for so long, as many hosts may ask at once.
constexpr base::Duration kPackedLife = std::chrono::milliseconds(300);

/// Keeps what it packed last. Lives on the thread that made it.
class FactsEndpoint
{
public:
  /// `aHost` must outlive the teller.
  explicit FactsEndpoint(const token::TokenHost& aHost);

  /// The answer to a request for `aPath`, whose query may name the revision
  /// that the asker knows.
  HttpReply Answer(const std::string& aPath, base::Instant aNow);

private:
  std::string PackAll(base::Instant aNow);

  const token::TokenHost& m_host;
  std::string m_packed;
  std::uint64_t m_packedRevision = 0;
  base::Instant m_packedAt;
};

} // namespace wasabiloom::daemon
