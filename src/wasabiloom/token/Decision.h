/// One decision on a packet under the token policy, for logs and metrics.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/packet/TokenCodec.h"
#include "wasabiloom/placing/Placement.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace wasabiloom::token {

/// What was done with a packet.
enum class Action : std::uint8_t
{
  Deliver,
  /// The caller was told that nothing was run, or that the flow is over.
  Reset,
  /// Kept until the host knows enough.
  Hold,
  Drop,
};

/// Why. Entries of ReasonNames stand in the same order.
enum class Reason : std::uint8_t
{
  PlacedLeastLoad,
  PlacedOnlyCold,
  PlacedOnlySuspect,
  PlacedAgain,
  SameAsBefore,
  TokenKnown,
  NotLearnedYet,
  NoRoute,
  RouteDropped,
  NoServer,
  TokenUnknown,
  ServerGone,
  ZoneOut,
  HoldFull,
  Malformed,
};

/// Count of the values of Reason.
constexpr std::size_t kReasonCount = 15;

/// Name of `aAction` for logs. Thread safe.
std::string_view
ToString(Action aAction);

/// Name of `aReason` for logs. Thread safe.
std::string_view
ToString(Reason aReason);

/// The reason of a new flow's placement. Thread safe.
Reason
ReasonOf(placing::PlaceReason aReason);

/// One decision with what it rested on.
struct Decision
{
  packet::FlowKey m_flow;
  Action m_action = Action::Drop;
  Reason m_reason = Reason::Malformed;
  std::string_view m_service;
  std::string_view m_server;
  std::uint32_t m_token = 0;
  std::uint32_t m_copy = 0;
  /// Configuration in force, and revision of the registry known.
  std::uint64_t m_version = 0;
  std::uint64_t m_revision = 0;
  /// Time since the registry or a peer last told how things stand.
  base::Duration m_age{ 0 };
};

/// Totals since the start. One thread at a time.
struct Totals
{
  std::array<std::uint64_t, kReasonCount> m_byReason{};
  std::uint64_t m_delivered = 0;
  std::uint64_t m_resets = 0;
  std::uint64_t m_held = 0;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_malformed = 0;
  std::uint64_t m_factsAdopted = 0;
  std::uint64_t m_factsSetAside = 0;
  std::uint64_t m_calls = 0;
  std::uint64_t m_callsFailed = 0;
};

} // namespace wasabiloom::token
