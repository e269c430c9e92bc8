/// Decision on a packet under the token policy, for logs and metrics.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/packet/TokenCodec.h"
#include "wasabiloom/placing/Placement.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace wasabiloom::token {

/// Action taken on a packet.
enum class Action : std::uint8_t
{
  Deliver,
  /// The caller is told by a reset that no request was run, or that its flow
  /// has ended.
  Reset,
  /// The packet is queued until the host has enough registry state.
  Hold,
  Drop,
};

/// Reason for an action. The names in kReasonNames are in the same order.
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
  /// All zones are full, and the flow is less urgent than others.
  NotAdmitted,
};

/// Number of values of Reason.
constexpr std::size_t kReasonCount = 16;

/// Returns the name of `aAction` in logs. Thread safe.
std::string_view
ToString(Action aAction);

/// Returns the name of `aReason` in logs. Thread safe.
std::string_view
ToString(Reason aReason);

/// Returns the decision reason for a new flow placed because of `aReason`.
/// Thread safe.
Reason
ReasonOf(placing::PlaceReason aReason);

/// Decision on one packet, with the state it was based on.
struct Decision
{
  packet::FlowKey m_flow;
  Action m_action = Action::Drop;
  Reason m_reason = Reason::Malformed;
  std::string_view m_service;
  std::string_view m_server;
  std::uint32_t m_token = 0;
  std::uint32_t m_copy = 0;
  /// Version of the active configuration, and the latest registry revision
  /// known.
  std::uint64_t m_version = 0;
  std::uint64_t m_revision = 0;
  /// Time since the registry or a peer last confirmed the registry state; zero
  /// if neither has.
  base::Duration m_age{ 0 };
};

/// Counters since the host started. Not thread safe.
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
