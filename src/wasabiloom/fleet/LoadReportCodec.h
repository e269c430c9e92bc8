/// Writes load reports to the generated message type and reads them; for the
/// source file of MessageCodec.
#pragma once

#include "wasabiloom/fleet/LoadReport.h"

namespace wasabiloom::fleet_wire {
class Message;
} // namespace wasabiloom::fleet_wire

namespace wasabiloom::fleet {

/// Writes `aReport` and the names of its zones. Times and numbers are rounded
/// to the units of the wire format. Thread safe.
void
WriteLoadReport(const LoadReport& aReport, fleet_wire::Message& aOut);

/// Reads the report in `aMessage`. Throws std::invalid_argument if lists differ
/// in length, are too long, or refer to names that are missing. Thread safe.
LoadReport
ReadLoadReport(const fleet_wire::Message& aMessage);

} // namespace wasabiloom::fleet
