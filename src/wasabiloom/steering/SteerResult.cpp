#include "wasabiloom/steering/SteerResult.h"

namespace wasabiloom::steering {

std::string_view
ToString(SteerReason aReason)
{
  switch (aReason) {
    case SteerReason::TableDefault:
      return "table_default";
    case SteerReason::Pinned:
      return "pinned";
    case SteerReason::WindowKnown:
      return "window_known";
    case SteerReason::WindowOldDefault:
      return "window_old_default";
    case SteerReason::WindowNewDefault:
      return "window_new_default";
    case SteerReason::RelayToWindowOwner:
      return "relay_to_window_owner";
    case SteerReason::RelayNotReady:
      return "relay_not_ready";
    case SteerReason::RelayUnknownTarget:
      return "relay_unknown_target";
    case SteerReason::DropNotReady:
      return "drop_not_ready";
    case SteerReason::DropNoTarget:
      return "drop_no_target";
    case SteerReason::DropTargetClosed:
      return "drop_target_closed";
  }
  return "unlisted";
}

} // namespace wasabiloom::steering
