/// Output interface of a host under the token policy.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/token/Decision.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace wasabiloom::token {

/// Implemented by the daemon or a test. The methods are called only while the
/// host handles an input, and must not call the host.
class TokenEffects
{
public:
  virtual ~TokenEffects();

  /// Sends a datagram to a backend server or a caller. `aBytes` is valid until
  /// the call returns.
  virtual void Send(const base::Endpoint& aTo,
                    std::span<const std::byte> aBytes) = 0;

  /// Logs a decision on a packet.
  virtual void LogDecision(const Decision& aDecision) = 0;

  /// Logs an event that concerns the host's registry state: its name, and its
  /// fields as key=value.
  virtual void LogStateChange(std::string_view aWhat,
                              const std::string& aDetail) = 0;

  /// Logs a single change that is also part of a summary event.
  virtual void LogDetail(std::string_view aWhat,
                         const std::string& aDetail) = 0;

  /// Whether LogDetail writes to the log. If not, callers can skip building its
  /// arguments.
  virtual bool LogsDetails() const = 0;
};

} // namespace wasabiloom::token
