/// Answers why a flow goes where it goes.
#pragma once

#include "wasabiloom/core/ServiceRuntime.h"
#include "wasabiloom/peer/Membership.h"

namespace wasabiloom::core {

/// The decision for `aFlow`, whose service is `aService`, with its steps.
/// Changes nothing. To be called on the core's thread.
Explanation
ExplainFlow(ServiceRuntime& aService,
            const peer::Membership& aMembership,
            const packet::FlowKey& aFlow);

} // namespace wasabiloom::core
