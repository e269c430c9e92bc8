/// How a module hands messages to other hosts.
#pragma once

#include "wasabiloom/peer/Messages.h"
#include "wasabiloom/peer/SendBudget.h"

namespace wasabiloom::peer {

/// Accepts messages for delivery; delivery is neither certain nor in order.
/// One thread at a time.
class Outbox
{
public:
  virtual ~Outbox();

  /// Queues `aMessage` for `aTo`.
  virtual void Send(base::HostId aTo, const Message& aMessage) = 0;

  /// Budget of the messages about changing tables.
  virtual SendBudget& Budget() = 0;
};

} // namespace wasabiloom::peer
