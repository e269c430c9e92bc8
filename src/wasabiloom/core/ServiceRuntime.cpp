#include "wasabiloom/core/ServiceRuntime.h"

#include <algorithm>

namespace wasabiloom::core {

namespace {

/// Age up to which a flow that was seen counts as evidence of load.
constexpr std::uint32_t kEvidenceSeconds = 120;

std::string
StateName(const steering::TargetInfo& aTarget)
{
  if (!aTarget.m_seenInBundle) {
    return "unknown";
  }
  if (!aTarget.m_acceptsPackets) {
    return "closed";
  }
  return aTarget.m_acceptsNewWork ? "active" : "draining";
}

std::string
VersionText(const steering::TableVersion& aVersion)
{
  return std::to_string(aVersion.m_term) + "." +
         std::to_string(aVersion.m_sequence);
}

} // namespace

ServiceRuntime::ServiceRuntime(const bundle::Service& aService,
                               std::uint32_t aInstance,
                               const peer::HostView& aView,
                               peer::Outbox& aOutbox,
                               Effects& aEffects)
  : m_service(aService)
  , m_requests(aService.m_name, aInstance, m_directory, aEffects)
  , m_health(steering::MakeServiceId(aService.m_name),
             m_directory,
             aView,
             aOutbox,
             aEffects)
{
  const auto service = steering::MakeServiceId(aService.m_name);
  for (std::size_t shard = 0; shard < steering::kShardsPerService; ++shard) {
    const steering::ShardKey key{ service, static_cast<std::uint8_t>(shard) };
    m_shards.push_back(
      std::make_unique<steering::ShardAgent>(key, m_directory, aView, aOutbox));
  }
}

void
ServiceRuntime::Adopt(const bundle::Bundle& aBundle,
                      const bundle::Service& aService)
{
  m_service = aService;
  m_directory.UpdateFromBundle(aBundle, aService);
  m_health.SetStatusPort(aService.m_statusPort);
  TellDirectoryChanged();
}

void
ServiceRuntime::SetLeaving(const std::vector<std::string>& aNames)
{
  m_directory.SetLeaving(aNames);
  TellDirectoryChanged();
}

void
ServiceRuntime::TellDirectoryChanged()
{
  for (const auto& shard : m_shards) {
    shard->OnDirectoryChanged();
  }
}

/// Flows seen within the evidence window, by slot.
std::vector<std::uint32_t>
ServiceRuntime::CountSeen(base::Instant aNow) const
{
  const std::uint32_t now = steering::ToSeconds(aNow);
  std::vector<std::uint32_t> seen(m_directory.Size(), 0);
  for (const auto& shard : m_shards) {
    shard->State().m_flows.ForEach(
      [&](const steering::FlowTable::Entry& aEntry) {
        seen[aEntry.m_targetIndex] +=
          now - aEntry.m_lastSeenSeconds <= kEvidenceSeconds ? 1 : 0;
      });
  }
  return seen;
}

void
ServiceRuntime::Tick(bool aMayCreate,
                     bool aMayAsk,
                     std::uint64_t aBundleVersion,
                     base::Instant aNow)
{
  m_health.Tick(aNow);
  if (!UsesTables()) {
    m_requests.Tick(aNow);
    return;
  }
  if (m_health.IsCorrectionDue(aNow) &&
      m_health.Correct(CountSeen(aNow), aNow)) {
    TellDirectoryChanged();
  }
  for (const auto& shard : m_shards) {
    shard->Tick(aMayCreate, aMayAsk, aBundleVersion, aNow);
  }
}

bool
ServiceRuntime::HasTables() const
{
  return !UsesTables() || std::ranges::all_of(m_shards, [](const auto& aShard) {
    return aShard->State().IsUsable();
  });
}

void
ServiceRuntime::RevalidateTables()
{
  for (const auto& shard : m_shards) {
    shard->RequireTableConfirmation();
  }
}

bool
ServiceRuntime::IsBusy() const
{
  return std::ranges::any_of(
    m_shards, [](const auto& aShard) { return aShard->HasChangeInProgress(); });
}

std::size_t
ServiceRuntime::FlowCount() const
{
  std::size_t count = 0;
  for (const auto& shard : m_shards) {
    count += shard->State().m_flows.Size();
  }
  return count;
}

std::size_t
ServiceRuntime::FlowMemoryBytes() const
{
  std::size_t bytes = 0;
  for (const auto& shard : m_shards) {
    const steering::ShardState& state = shard->State();
    bytes += state.m_flows.MemoryBytes();
    bytes += state.m_table.Pinned().MemoryBytes();
  }
  return bytes;
}

ServiceStatus
ServiceRuntime::Status() const
{
  ServiceStatus status;
  status.m_name = m_service.m_name;
  for (std::size_t slot = 0; slot < m_directory.Size(); ++slot) {
    const auto& info = m_directory.At(static_cast<steering::TargetIndex>(slot));
    status.m_targets.push_back({ info.m_name, StateName(info), 0, 0 });
  }
  steering::TableVersion newest;
  for (const auto& shard : m_shards) {
    const steering::ShardState& state = shard->State();
    newest = std::max(newest, state.m_table.Version());
    status.m_pinnedFlows += state.m_table.Pinned().Size();
    status.m_movingRows += state.m_window ? state.m_window->m_rows.count() : 0;
    state.m_flows.ForEach([&](const steering::FlowTable::Entry& aEntry) {
      ++status.m_targets[aEntry.m_targetIndex].m_flows;
    });
    for (std::size_t row = 0; row < steering::kRowsPerShard; ++row) {
      const steering::TargetIndex slot = state.m_table.RowTarget(row);
      if (slot != steering::kNoTargetIndex) {
        ++status.m_targets[slot].m_rows;
      }
    }
  }
  status.m_tableVersion = VersionText(newest);
  return status;
}

} // namespace wasabiloom::core
