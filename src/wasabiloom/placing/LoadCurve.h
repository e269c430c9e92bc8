/// Relation between the requests in progress at servers and the demand.
#pragma once

namespace wasabiloom::placing {

/// Requests in progress per slot above which each slot is in use on average, so
/// that requests begin to wait.
constexpr double kWaitingLoad = 1.0;

/// Returns the demand, in multiples of the capacity of the slots, at which
/// servers have `aRequestsPerSlot` requests in progress per slot. Piecewise
/// linear through the figures of docs/LOAD.md; servers whose queues are full
/// show no more than the demand that fills them. Thread safe.
double
DemandAt(double aRequestsPerSlot);

} // namespace wasabiloom::placing
