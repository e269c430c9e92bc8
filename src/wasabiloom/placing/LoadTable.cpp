#include "wasabiloom/placing/LoadTable.h"

namespace wasabiloom::placing {

std::optional<ZoneLoad>
LoadTable::LoadOfZone(std::string_view /*aService*/,
                      std::string_view /*aZone*/,
                      base::Instant /*aNow*/) const
{
  return std::nullopt;
}

std::optional<ServerObservation>
LoadTable::ObservationOf(std::uint32_t /*aToken*/, base::Instant /*aNow*/) const
{
  return std::nullopt;
}

} // namespace wasabiloom::placing
