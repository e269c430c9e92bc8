#include "wasabiloom/registry/Facts.h"

namespace wasabiloom::registry {

std::string_view
ToString(FactKind aKind)
{
  switch (aKind) {
    case FactKind::Configuration:
      return "configuration";
    case FactKind::Server:
      return "server";
    case FactKind::ZoneOut:
      return "zone_out";
    case FactKind::Route:
      return "route";
    case FactKind::Other:
      return "other";
  }
  return "unlisted";
}

} // namespace wasabiloom::registry
