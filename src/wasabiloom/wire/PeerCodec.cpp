#include "wasabiloom/wire/PeerCodec.h"

#include "wasabiloom/wire/PeerFields.h"

namespace wasabiloom::wire {

namespace {

using base::ResultCode;
using steering::RowMove;

// --- messages ---------------------------------------------------------------

void
Put(Heartbeat* aOut, const peer::Heartbeat& aMessage)
{
  aOut->set_phase(static_cast<std::uint32_t>(aMessage.m_phase));
  aOut->set_bundle_version(aMessage.m_bundleVersion);
  aOut->set_list_revision(aMessage.m_listRevision);
  aOut->set_rejoins(aMessage.m_rejoins);
  aOut->set_hears_receiver(aMessage.m_hearsReceiver);
  aOut->set_recent_departure(aMessage.m_recentDeparture);
}

peer::Heartbeat
Get(const Heartbeat& aIn)
{
  Require(aIn.phase() <= static_cast<std::uint32_t>(peer::HostPhase::Left));
  peer::Heartbeat message;
  message.m_phase = static_cast<peer::HostPhase>(aIn.phase());
  message.m_bundleVersion = aIn.bundle_version();
  message.m_listRevision = aIn.list_revision();
  message.m_rejoins = aIn.rejoins();
  message.m_hearsReceiver = aIn.hears_receiver();
  message.m_recentDeparture = aIn.recent_departure();
  return message;
}

void
Put(Propose* aOut, const peer::Propose& aMessage)
{
  Put(aOut->mutable_shard(), aMessage.m_shard);
  Put(aOut->mutable_version(), aMessage.m_version);
  Put(aOut->mutable_basis(), aMessage.m_basis);
  aOut->set_owner_incarnation(aMessage.m_ownerIncarnation);
  aOut->set_takeover(aMessage.m_takeover);
  Put(aOut->mutable_moves(), aMessage.m_moves);
  Put(aOut->mutable_known(), aMessage.m_known);
}

peer::Propose
Get(const Propose& aIn)
{
  peer::Propose message;
  message.m_shard = Get(aIn.shard());
  message.m_version = Get(aIn.version());
  message.m_basis = Get(aIn.basis());
  message.m_ownerIncarnation = aIn.owner_incarnation();
  message.m_takeover = aIn.takeover();
  message.m_moves = Get(aIn.moves());
  message.m_known = Get(aIn.known());
  return message;
}

void
Put(Contribute* aOut, const peer::Contribute& aMessage)
{
  Put(aOut->mutable_shard(), aMessage.m_shard);
  Put(aOut->mutable_version(), aMessage.m_version);
  Put(aOut->mutable_committed(), aMessage.m_committed);
  aOut->set_accepted(aMessage.m_accepted);
  Put(aOut->mutable_flows(), aMessage.m_flows);
}

peer::Contribute
Get(const Contribute& aIn)
{
  peer::Contribute message;
  message.m_shard = Get(aIn.shard());
  message.m_version = Get(aIn.version());
  message.m_committed = Get(aIn.committed());
  message.m_accepted = aIn.accepted();
  message.m_flows = Get(aIn.flows());
  return message;
}

void
Put(Commit* aOut, const peer::Commit& aMessage)
{
  Put(aOut->mutable_shard(), aMessage.m_shard);
  Put(aOut->mutable_version(), aMessage.m_version);
  Put(aOut->mutable_additions(), aMessage.m_additions);
}

peer::Commit
Get(const Commit& aIn)
{
  return { Get(aIn.shard()), Get(aIn.version()), Get(aIn.additions()) };
}

void
Put(CommitAck* aOut, const peer::CommitAck& aMessage)
{
  Put(aOut->mutable_shard(), aMessage.m_shard);
  Put(aOut->mutable_version(), aMessage.m_version);
}

peer::CommitAck
Get(const CommitAck& aIn)
{
  return { Get(aIn.shard()), Get(aIn.version()) };
}

void
Put(PlacementNotice* aOut, const peer::PlacementNotice& aMessage)
{
  Put(aOut->mutable_shard(), aMessage.m_shard);
  FlowRuns runs;
  Put(&runs, { aMessage.m_placed });
  *aOut->mutable_placed() = runs.Get(0);
}

peer::PlacementNotice
Get(const PlacementNotice& aIn)
{
  FlowRuns runs;
  *runs.Add() = aIn.placed();
  const auto flows = Get(runs);
  Require(flows.size() == 1);
  return { Get(aIn.shard()), flows.front() };
}

void
Put(StrayFlows* aOut, const peer::StrayFlows& aMessage)
{
  Put(aOut->mutable_shard(), aMessage.m_shard);
  Put(aOut->mutable_flows(), aMessage.m_flows);
}

peer::StrayFlows
Get(const StrayFlows& aIn)
{
  return { Get(aIn.shard()), Get(aIn.flows()) };
}

void
Put(SyncRequest* aOut, const peer::SyncRequest& aMessage)
{
  Put(aOut->mutable_shard(), aMessage.m_shard);
  Put(aOut->mutable_committed(), aMessage.m_committed);
  Put(aOut->mutable_window(), aMessage.m_window);
  aOut->set_confirm(aMessage.m_confirm);
}

peer::SyncRequest
Get(const SyncRequest& aIn)
{
  return {
    Get(aIn.shard()), Get(aIn.committed()), Get(aIn.window()), aIn.confirm()
  };
}

void
Put(Sync* aOut, const peer::Sync& aMessage)
{
  Put(aOut->mutable_shard(), aMessage.m_shard);
  Put(aOut->mutable_version(), aMessage.m_version);
  std::vector<RowMove> rows;
  for (std::size_t row = 0; row < aMessage.m_rows.size(); ++row) {
    rows.push_back({ static_cast<std::uint16_t>(row), aMessage.m_rows[row] });
  }
  Put(aOut->mutable_rows(), rows);
  Put(aOut->mutable_pinned(), aMessage.m_pinned);
  if (aMessage.m_window) {
    Put(aOut->mutable_window(), *aMessage.m_window);
  }
}

peer::Sync
Get(const Sync& aIn)
{
  peer::Sync message;
  message.m_shard = Get(aIn.shard());
  message.m_version = Get(aIn.version());
  const auto rows = Get(aIn.rows());
  Require(rows.size() == steering::kRowsPerShard);
  for (const RowMove& row : rows) {
    message.m_rows.push_back(row.m_target);
  }
  message.m_pinned = Get(aIn.pinned());
  if (aIn.has_window()) {
    message.m_window = Get(aIn.window());
  }
  return message;
}

void
Put(LoadReports* aOut, const peer::LoadReports& aMessage)
{
  aOut->set_service(aMessage.m_service.m_value);
  for (const health::TargetReport& report : aMessage.m_reports) {
    LoadReport* out = aOut->add_reports();
    out->set_target(report.m_target.m_value);
    out->set_flows(report.m_flows);
    out->set_warmth(static_cast<std::uint32_t>(report.m_warmupState));
  }
}

peer::LoadReports
Get(const LoadReports& aIn)
{
  peer::LoadReports message;
  message.m_service = { aIn.service() };
  for (const LoadReport& report : aIn.reports()) {
    Require(report.warmth() <=
            static_cast<std::uint32_t>(health::WarmupState::Cold));
    message.m_reports.push_back(
      { { report.target() },
        report.flows(),
        static_cast<health::WarmupState>(report.warmth()) });
  }
  return message;
}

// --- datagram ---------------------------------------------------------------

/// Writes the body of a datagram, one overload for each kind of message.
struct BodyWriter
{
  PeerDatagram& m_out;

  void operator()(const peer::Heartbeat& aMessage) const
  {
    Put(m_out.mutable_heartbeat(), aMessage);
  }
  void operator()(const peer::Propose& aMessage) const
  {
    Put(m_out.mutable_propose(), aMessage);
  }
  void operator()(const peer::Contribute& aMessage) const
  {
    Put(m_out.mutable_contribute(), aMessage);
  }
  void operator()(const peer::Commit& aMessage) const
  {
    Put(m_out.mutable_commit(), aMessage);
  }
  void operator()(const peer::CommitAck& aMessage) const
  {
    Put(m_out.mutable_commit_ack(), aMessage);
  }
  void operator()(const peer::PlacementNotice& aMessage) const
  {
    Put(m_out.mutable_placement_notice(), aMessage);
  }
  void operator()(const peer::StrayFlows& aMessage) const
  {
    Put(m_out.mutable_stray_flows(), aMessage);
  }
  void operator()(const peer::SyncRequest& aMessage) const
  {
    Put(m_out.mutable_sync_request(), aMessage);
  }
  void operator()(const peer::Sync& aMessage) const
  {
    Put(m_out.mutable_sync(), aMessage);
  }
  void operator()(const peer::LoadReports& aMessage) const
  {
    Put(m_out.mutable_load_reports(), aMessage);
  }
  void operator()(const peer::BundleRequest& /*aMessage*/) const
  {
    m_out.mutable_bundle_request();
  }
  void operator()(const peer::BundleReply& aMessage) const
  {
    m_out.mutable_bundle_reply()->set_signed_bundle(aMessage.m_signedBundle);
  }
};

peer::Message
GetBody(const PeerDatagram& aIn)
{
  switch (aIn.body_case()) {
    case PeerDatagram::kHeartbeat:
      return Get(aIn.heartbeat());
    case PeerDatagram::kPropose:
      return Get(aIn.propose());
    case PeerDatagram::kContribute:
      return Get(aIn.contribute());
    case PeerDatagram::kCommit:
      return Get(aIn.commit());
    case PeerDatagram::kCommitAck:
      return Get(aIn.commit_ack());
    case PeerDatagram::kPlacementNotice:
      return Get(aIn.placement_notice());
    case PeerDatagram::kStrayFlows:
      return Get(aIn.stray_flows());
    case PeerDatagram::kSyncRequest:
      return Get(aIn.sync_request());
    case PeerDatagram::kSync:
      return Get(aIn.sync());
    case PeerDatagram::kLoadReports:
      return Get(aIn.load_reports());
    case PeerDatagram::kBundleRequest:
      return peer::BundleRequest{};
    case PeerDatagram::kBundleReply:
      return peer::BundleReply{ aIn.bundle_reply().signed_bundle() };
    case PeerDatagram::BODY_NOT_SET:
      break;
  }
  throw Malformed();
}

} // namespace

std::string
EncodePeer(const peer::Datagram& aDatagram)
{
  PeerDatagram out;
  out.set_from(aDatagram.m_from.m_value);
  out.set_incarnation(aDatagram.m_incarnation);
  std::visit(BodyWriter{ out }, aDatagram.m_message);
  return out.SerializeAsString();
}

base::Result<peer::Datagram>
DecodePeer(std::string_view aBytes)
{
  PeerDatagram in;
  if (!in.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return base::Fail(ResultCode::PeerMessageMalformed, "not a peer datagram");
  }
  try {
    return peer::Datagram{ { in.from() }, in.incarnation(), GetBody(in) };
  } catch (const Malformed&) {
    return base::Fail(ResultCode::PeerMessageMalformed,
                      "field of a peer datagram out of range");
  }
}

} // namespace wasabiloom::wire
