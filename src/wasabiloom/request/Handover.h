/// Which host serves a request while its home moves from one host to another.
#pragma once

#include <compare>
#include <cstdint>

namespace wasabiloom::request {

/// What a host knows of a request that has just come.
struct RequestOwnership
{
  /// The request is on this host's books, whatever became of it.
  bool m_hasRecord = false;
  bool m_isRepeatable = false;
  /// This host is the home, as it sees the fleet.
  bool m_isOwner = false;
  /// This host is ready, and was the home before the fleet last changed, not
  /// long ago.
  bool m_wasOwner = false;
  bool m_isLeaving = false;
  /// Another host relayed the request.
  bool m_isRelayed = false;
  /// The home before the fleet last changed, not long ago, is another host
  /// that lives.
  bool m_hasPreviousOwner = false;
  bool m_isFromPreviousOwner = false;

  friend auto operator<=>(const RequestOwnership&,
                          const RequestOwnership&) = default;
};

/// What to do with the request.
enum class RequestAction : std::uint8_t
{
  Serve,
  RelayToOwner,
  RelayToPreviousOwner,
};

/// A request that may not be repeated runs at most once though two hosts see
/// the home move at different moments: the new home passes it to the one
/// before, which serves it if it knows it or still takes itself for the home,
/// and otherwise passes it back, and never serves a new one again. Thread safe.
RequestAction
DecideRequestAction(const RequestOwnership& aSituation);

} // namespace wasabiloom::request
