#include "BaselineHost.h"

#include "wasabiloom/bundle/SignedBundle.h"

namespace wasabiloom::scenario {

namespace {

using steering::kNoTargetIndex;

/// Time between learning of a bundle and switching to its table.
constexpr base::Duration kEpochDelay = std::chrono::seconds(1);

} // namespace

BaselineHost::Shard::Shard(const steering::ShardKey& aKey,
                           steering::TargetDirectory& aDirectory)
  : m_state(aKey, aDirectory)
{
}

BaselineHost::Service::Service(const bundle::Service& aService)
{
  const auto service = steering::MakeServiceId(aService.m_name);
  for (std::size_t shard = 0; shard < steering::kShardsPerService; ++shard) {
    const steering::ShardKey key{ service, static_cast<std::uint8_t>(shard) };
    m_shards.push_back(std::make_unique<Shard>(key, m_directory));
  }
}

BaselineHost::BaselineHost(Policy aPolicy,
                           core::HostIdentity aIdentity,
                           core::Effects& aEffects)
  : m_policy(aPolicy)
  , m_identity(std::move(aIdentity))
  , m_effects(aEffects)
{
}

core::PacketDecision
BaselineHost::OnPacket(std::span<const std::byte> aPacket, base::Instant aNow)
{
  const packet::ParsedPacket parsed = packet::ParsePacket(aPacket);
  const auto found = m_services.find(parsed.m_view.m_flow.m_service);
  if (found == m_services.end()) {
    return {};
  }
  Service& service = *found->second;
  const std::uint64_t hash = packet::HashFlow(parsed.m_view.m_flow);
  const steering::FlowId flow = steering::FlowIdOf(hash);
  steering::ShardState& state =
    service.m_shards[steering::ShardOf(hash)]->m_state;
  steering::TargetIndex slot = kNoTargetIndex;
  if (m_policy != Policy::TableOnly && !parsed.m_view.m_opens) {
    slot = state.m_flows.Find(flow);
  }
  if (slot == kNoTargetIndex) {
    slot = state.m_table.Lookup(flow).m_targetIndex;
  }
  if (slot == kNoTargetIndex ||
      !service.m_directory.At(slot).m_acceptsPackets) {
    return {};
  }
  if (m_policy != Policy::TableOnly) {
    state.m_flows.Put(flow, slot, steering::ToSeconds(aNow));
  }
  return { core::PacketAction::Forward,
           service.m_directory.At(slot).m_endpoint,
           base::ResultCode::Ok };
}

core::PacketDecision
BaselineHost::OnRelayedPacket(std::span<const std::byte> aPacket,
                              base::HostId /*aFrom*/,
                              base::Instant aNow)
{
  return OnPacket(aPacket, aNow);
}

void
BaselineHost::OnPeer(const peer::Datagram& aDatagram, base::Instant /*aNow*/)
{
  const auto* told = std::get_if<peer::Commit>(&aDatagram.m_message);
  if (told == nullptr) {
    return;
  }
  for (const auto& [address, service] : m_services) {
    steering::ShardState& state =
      service->m_shards[told->m_shard.m_shard]->m_state;
    if (state.Key() != told->m_shard) {
      continue;
    }
    for (const steering::PinnedFlow& flow : told->m_additions) {
      const auto slot = service->m_directory.IndexOf(flow.m_target);
      state.m_flows.Put(flow.m_flow, slot, 0);
    }
  }
}

void
BaselineHost::OnBundle(const std::string& aSigned, base::Instant aNow)
{
  const auto opened = base::Handle(
    [&] { return bundle::OpenBundle(aSigned, m_identity.m_trustedKeys); },
    [](const base::Problem&) { return bundle::Bundle{}; });
  if (opened.m_version <= m_bundle.m_version) {
    return;
  }
  m_bundle = opened;
  for (const bundle::Service& service : m_bundle.m_services) {
    auto& state = m_services[service.m_address];
    if (!state) {
      state = std::make_unique<Service>(service);
    }
    state->m_directory.UpdateFromBundle(m_bundle, service);
  }
  PlanEpoch(aNow);
}

void
BaselineHost::PlanEpoch(base::Instant aNow)
{
  for (const auto& [address, service] : m_services) {
    for (const auto& shard : service->m_shards) {
      shard->m_next = shard->m_state.m_table;
      const auto moves =
        PlanMoves(shard->m_state.Key(), shard->m_next, service->m_directory);
      for (const steering::LocalRowMove& move : moves) {
        shard->m_next.SetRow(move.m_row, move.m_targetIndex);
      }
      if (m_policy == Policy::TimedEpochs) {
        TellMovedFlows(*shard, aNow);
      }
    }
  }
  const bool first = m_bundle.m_version == 1;
  m_switchAt =
    aNow + (m_policy == Policy::TimedEpochs && !first ? kEpochDelay
                                                      : base::Duration(0));
  m_switchDue = true;
  OnTick(aNow);
}

void
BaselineHost::TellMovedFlows(Shard& aShard, base::Instant /*aNow*/)
{
  peer::Commit told;
  told.m_shard = aShard.m_state.Key();
  aShard.m_state.m_flows.ForEach([&](const steering::FlowTable::Entry& aEntry) {
    if (aShard.m_next.RowTarget(aEntry.m_row) != aEntry.m_targetIndex) {
      const auto target =
        aShard.m_state.Directory().At(aEntry.m_targetIndex).m_id;
      told.m_additions.push_back(
        { { aEntry.m_row, aEntry.m_fingerprint }, target });
    }
  });
  if (told.m_additions.empty()) {
    return;
  }
  for (const peer::PeerAddress& host : m_list.m_hosts) {
    if (host.m_name != m_identity.m_name) {
      m_effects.SendPeer(host.m_peer,
                         { base::MakeHostId(m_identity.m_name), 1, told });
    }
  }
}

void
BaselineHost::SwitchEpoch()
{
  for (const auto& [address, service] : m_services) {
    for (const auto& shard : service->m_shards) {
      shard->m_state.m_table = shard->m_next;
    }
  }
}

void
BaselineHost::OnTick(base::Instant aNow)
{
  if (!m_switchDue || aNow < m_switchAt) {
    return;
  }
  if (m_policy == Policy::TimedEpochs) {
    for (const auto& [address, service] : m_services) {
      for (const auto& shard : service->m_shards) {
        TellMovedFlows(*shard, aNow);
      }
    }
  }
  SwitchEpoch();
  m_switchDue = false;
}

void
BaselineHost::OnHostList(const core::HostList& aList, base::Instant /*aNow*/)
{
  m_list = aList;
}

void
BaselineHost::OnBackend(const request::Envelope& /*aEnvelope*/,
                        base::Instant /*aNow*/)
{
}

void
BaselineHost::BeginLeave(base::Instant /*aNow*/)
{
}

void
BaselineHost::FinishLeave(base::Instant /*aNow*/)
{
}

} // namespace wasabiloom::scenario
