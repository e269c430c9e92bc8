#include "wasabiloom/token/Decision.h"

namespace wasabiloom::token {

namespace {

constexpr std::array<std::string_view, kReasonCount> kReasonNames = {
  "placed_least_load", "placed_only_cold", "placed_only_suspect",
  "placed_again",      "same_as_before",   "token_known",
  "not_learned_yet",   "no_route",         "route_dropped",
  "no_server",         "token_unknown",    "server_gone",
  "zone_out",          "hold_full",        "malformed",
  "not_admitted",
};

constexpr std::array<std::string_view, 4> kActionNames = { "deliver",
                                                           "reset",
                                                           "hold",
                                                           "drop" };

} // namespace

std::string_view
ToString(Action aAction)
{
  return kActionNames.at(static_cast<std::size_t>(aAction));
}

std::string_view
ToString(Reason aReason)
{
  return kReasonNames.at(static_cast<std::size_t>(aReason));
}

Reason
ReasonOf(placing::PlaceReason aReason)
{
  switch (aReason) {
    case placing::PlaceReason::LeastLoad:
      return Reason::PlacedLeastLoad;
    case placing::PlaceReason::OnlyCold:
      return Reason::PlacedOnlyCold;
    case placing::PlaceReason::OnlySuspect:
      return Reason::PlacedOnlySuspect;
  }
  return Reason::PlacedLeastLoad;
}

} // namespace wasabiloom::token
