/// Metrics of a host under the token policy, as prometheus text.
#pragma once

#include "wasabiloom/fleet/LoadExchange.h"
#include "wasabiloom/token/TokenHost.h"

#include <memory>
#include <string>

namespace wasabiloom::daemon {

/// Counters and histograms of one host. Not thread safe.
class TokenMetrics
{
public:
  TokenMetrics();
  ~TokenMetrics();
  TokenMetrics(const TokenMetrics&) = delete;
  TokenMetrics& operator=(const TokenMetrics&) = delete;

  /// Records the duration of a call on the registry.
  void ObserveCall(base::Duration aSpan);

  /// Records the time in which a batch of packets was forwarded.
  void ObserveBatch(base::Duration aSpan);

  /// Returns the metrics as text, including the totals of `aHost` and of its
  /// load reports.
  std::string Write(const token::TokenHost& aHost,
                    const fleet::LoadTotals& aLoad,
                    base::Instant aNow);

private:
  struct Families;

  std::unique_ptr<Families> m_families;
};

} // namespace wasabiloom::daemon
