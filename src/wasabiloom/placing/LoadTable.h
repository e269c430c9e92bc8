/// Merges the load reports of several hosts.
#pragma once

#include "wasabiloom/placing/SharedLoad.h"

namespace wasabiloom::placing {

/// The load of zones and servers, merged from recent reports. Empty as long as
/// no host sends reports. Not thread safe.
class LoadTable final : public SharedLoad
{
public:
  std::optional<ZoneLoad> LoadOfZone(std::string_view aService,
                                     std::string_view aZone,
                                     base::Instant aNow) const override;
  std::optional<ServerObservation> ObservationOf(
    std::uint32_t aToken,
    base::Instant aNow) const override;
};

} // namespace wasabiloom::placing
