/// What a host under the token policy asks its driver to do.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/token/Decision.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace wasabiloom::token {

/// Implemented by whoever drives the host: the daemon, or a test. Called only
/// from inside the host's inputs; must not call back.
class TokenEffects
{
public:
  virtual ~TokenEffects();

  /// Sends a datagram to a backend server or a caller. The bytes live until
  /// the call returns.
  virtual void Send(const base::Endpoint& aTo,
                    std::span<const std::byte> aBytes) = 0;

  /// Records a decision that touches a flow.
  virtual void LogDecision(const Decision& aDecision) = 0;

  /// Records a change of belief: what, and details as key=value.
  virtual void LogStateChange(std::string_view aWhat,
                              const std::string& aDetail) = 0;

  /// Records a detail of such a change that is also told in sum.
  virtual void LogDetail(std::string_view aWhat,
                         const std::string& aDetail) = 0;

  /// Whether details are recorded.
  virtual bool LogsDetails() const = 0;
};

} // namespace wasabiloom::token
