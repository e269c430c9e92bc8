/// Decides which host serves a request, also while the ownership of requests
/// moves from one host to another.
#pragma once

#include <compare>
#include <cstdint>

namespace wasabiloom::request {

/// What the receiving host knows about a request that has just arrived.
struct RequestOwnership
{
  /// This host has a record of the request, in progress or finished.
  bool m_hasRecord = false;
  bool m_isRepeatable = false;
  /// This host owns the request according to its own view of the fleet.
  bool m_isOwner = false;
  /// This host is ready, no longer owns the request, and owned it until the
  /// fleet changed a short time ago.
  bool m_wasOwner = false;
  bool m_isLeaving = false;
  /// The request came from another host of the fleet that had decided on its
  /// owner. A joining host does not know the owners and relays to any host, so
  /// its requests count as coming from the caller.
  bool m_isRelayed = false;
  /// The fleet changed a short time ago, and the owner before that change is
  /// another host, which is alive.
  bool m_hasPreviousOwner = false;
  /// The previous owner relayed the request.
  bool m_isFromPreviousOwner = false;

  friend auto operator<=>(const RequestOwnership&,
                          const RequestOwnership&) = default;
};

/// What the receiving host does with the request.
enum class RequestAction : std::uint8_t
{
  Serve,
  RelayToOwner,
  RelayToPreviousOwner,
};

/// Decides what to do with a request. A non-repeatable request runs at most
/// once although hosts learn of a change of owner at different times: the new
/// owner relays the request to the previous owner. The previous owner serves
/// it if it has a record of it or still considers itself the owner. Otherwise
/// it relays the request back, and from then on serves no request that it has
/// no record of. Thread safe.
RequestAction
DecideRequestAction(const RequestOwnership& aSituation);

} // namespace wasabiloom::request
