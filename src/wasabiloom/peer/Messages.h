/// Messages that entry hosts exchange, as values.
#pragma once

#include "wasabiloom/base/HostId.h"
#include "wasabiloom/health/TargetReport.h"
#include "wasabiloom/steering/Types.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wasabiloom::peer {

/// Where an entry host stands in its life.
enum class HostPhase : std::uint8_t
{
  Joining,
  Ready,
  Leaving,
  Left,
};

/// Sent to every peer at a fixed interval.
struct Heartbeat
{
  HostPhase m_phase = HostPhase::Joining;
  /// Number of times that the process has begun to join again, after pauses.
  /// With the phase, which only advances in between, it tells which of two
  /// heartbeats is the later one.
  std::uint64_t m_rejoins = 0;
  std::uint64_t m_bundleVersion = 0;
  std::uint64_t m_listRevision = 0;
  /// Whether the sender has heard the receiver lately.
  bool m_hearsReceiver = false;
  /// Whether the sender has seen a host depart lately: a joining receiver has
  /// not seen it.
  bool m_recentDeparture = false;

  friend auto operator<=>(const Heartbeat&, const Heartbeat&) = default;
};

/// An owner opens a window in which rows change their default target.
struct Propose
{
  steering::ShardKey m_shard;
  steering::TableVersion m_version;
  steering::TableVersion m_basis;
  /// Process that opened the window; its successor does not own it.
  std::uint64_t m_ownerIncarnation = 0;
  bool m_takeover = false;
  std::vector<steering::RowMove> m_moves;
  /// Flows of the moving rows that the owner knows.
  std::vector<steering::PinnedFlow> m_known;

  friend auto operator<=>(const Propose&, const Propose&) = default;
};

/// Answer to Propose: the sender relays the moving rows from now on.
struct Contribute
{
  steering::ShardKey m_shard;
  steering::TableVersion m_version;
  /// Version the sender has committed.
  steering::TableVersion m_committed;
  bool m_accepted = false;
  /// Flows of the moving rows that the proposal lacked.
  std::vector<steering::PinnedFlow> m_flows;

  friend auto operator<=>(const Contribute&, const Contribute&) = default;
};

/// The owner closes the window: the moves are in force.
struct Commit
{
  steering::ShardKey m_shard;
  steering::TableVersion m_version;
  /// Known flows that the proposal lacked.
  std::vector<steering::PinnedFlow> m_additions;

  friend auto operator<=>(const Commit&, const Commit&) = default;
};

/// Answer to Commit.
struct CommitAck
{
  steering::ShardKey m_shard;
  steering::TableVersion m_version;

  friend auto operator<=>(const CommitAck&, const CommitAck&) = default;
};

/// Tells one more host where a flow was placed during a window.
struct PlacementNotice
{
  steering::ShardKey m_shard;
  steering::PinnedFlow m_placed;

  friend auto operator<=>(const PlacementNotice&,
                          const PlacementNotice&) = default;
};

/// Flows the sender has seen on another backend server than the table it just
/// adopted says: it was not heard when the table changed.
struct StrayFlows
{
  steering::ShardKey m_shard;
  std::vector<steering::PinnedFlow> m_flows;

  friend auto operator<=>(const StrayFlows&, const StrayFlows&) = default;
};

/// Asks for the whole state of a shard, unless the sender has it already.
struct SyncRequest
{
  steering::ShardKey m_shard;
  /// Version the sender has committed; zero when it has no table.
  steering::TableVersion m_committed;
  /// Version of the window the sender has open; zero when none is.
  steering::TableVersion m_window;
  /// Whether the sender wants an answer even when it is up to date.
  bool m_confirm = false;

  friend auto operator<=>(const SyncRequest&, const SyncRequest&) = default;
};

/// The whole state of a shard, with its open window if there is one.
struct Sync
{
  steering::ShardKey m_shard;
  steering::TableVersion m_version;
  std::vector<steering::TargetId> m_rows;
  std::vector<steering::PinnedFlow> m_pinned;
  std::optional<Propose> m_window;

  friend auto operator<=>(const Sync&, const Sync&) = default;
};

/// What backend servers said when the sender probed them.
struct LoadReports
{
  steering::ServiceId m_service;
  std::vector<health::TargetReport> m_reports;

  friend auto operator<=>(const LoadReports&, const LoadReports&) = default;
};

/// Asks for the bundle the receiver has in force.
struct BundleRequest
{
  friend auto operator<=>(const BundleRequest&, const BundleRequest&) = default;
};

/// A signed bundle as the operator published it.
struct BundleReply
{
  std::string m_signedBundle;

  friend auto operator<=>(const BundleReply&, const BundleReply&) = default;
};

/// Any message.
using Message = std::variant<Heartbeat,
                             Propose,
                             Contribute,
                             Commit,
                             CommitAck,
                             PlacementNotice,
                             StrayFlows,
                             SyncRequest,
                             Sync,
                             LoadReports,
                             BundleRequest,
                             BundleReply>;

/// A message with its sender; the incarnation differs for every process that
/// ever used the sender's name.
struct Datagram
{
  base::HostId m_from;
  std::uint64_t m_incarnation = 0;
  Message m_message;

  friend auto operator<=>(const Datagram&, const Datagram&) = default;
};

} // namespace wasabiloom::peer
