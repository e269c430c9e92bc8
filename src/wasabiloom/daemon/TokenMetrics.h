/// Metrics of a host under the token policy, as prometheus text.
#pragma once

#include "wasabiloom/token/TokenHost.h"

#include <memory>
#include <string>

namespace wasabiloom::daemon {

/// Counters and histograms of one host. One thread at a time.
class TokenMetrics
{
public:
  TokenMetrics();
  ~TokenMetrics();
  TokenMetrics(const TokenMetrics&) = delete;
  TokenMetrics& operator=(const TokenMetrics&) = delete;

  /// A call on the registry took `aSpan`.
  void ObserveCall(base::Duration aSpan);

  /// A batch of packets was carried in `aSpan`.
  void ObserveBatch(base::Duration aSpan);

  /// The metrics as text, with the host's totals.
  std::string Write(const token::TokenHost& aHost);

private:
  struct Families;

  std::unique_ptr<Families> m_families;
};

} // namespace wasabiloom::daemon
