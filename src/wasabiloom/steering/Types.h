/// Value types of steering: flows, rows, targets and table versions.
#pragma once

#include "wasabiloom/base/HostId.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wasabiloom::steering {

/// Number of shards of one service; each has its own owner among the entry
/// hosts.
constexpr std::size_t kShardsPerService = 8;

/// Number of rows in the table of one shard.
constexpr std::size_t kRowsPerShard = 512;

/// Index into a service's TargetDirectory. It is valid on this host only.
using TargetIndex = std::uint16_t;

/// Slot value that stands for no target.
constexpr TargetIndex kNoTargetIndex = 0xffff;

/// Identity of a backend server within its service; the same on every host.
struct TargetId
{
  std::uint32_t m_value = 0;

  friend auto operator<=>(const TargetId&, const TargetId&) = default;
};

/// Identity of a service, derived from its name.
struct ServiceId
{
  std::uint32_t m_value = 0;

  friend auto operator<=>(const ServiceId&, const ServiceId&) = default;
};

/// Identifies one shard of one service.
struct ShardKey
{
  ServiceId m_service;
  std::uint8_t m_shard = 0;

  friend auto operator<=>(const ShardKey&, const ShardKey&) = default;
};

/// Identifies a flow within its shard by its table row and a fingerprint.
struct FlowId
{
  std::uint16_t m_row = 0;
  std::uint32_t m_fingerprint = 0;

  friend auto operator<=>(const FlowId&, const FlowId&) = default;
};

/// A flow and the backend server that receives its packets.
struct PinnedFlow
{
  FlowId m_flow;
  TargetId m_target;

  friend auto operator<=>(const PinnedFlow&, const PinnedFlow&) = default;
};

/// New default target of one row.
struct RowMove
{
  std::uint16_t m_row = 0;
  TargetId m_target;

  friend auto operator<=>(const RowMove&, const RowMove&) = default;
};

/// Version of a shard's table. The term increases with each change of owner,
/// the sequence with each change of the table. Versions are totally ordered.
struct TableVersion
{
  std::uint32_t m_term = 0;
  std::uint64_t m_sequence = 0;
  base::HostId m_owner;

  friend auto operator<=>(const TableVersion&, const TableVersion&) = default;
};

/// Returns the identity of the service named `aName`. Thread safe.
inline ServiceId
MakeServiceId(std::string_view aName)
{
  return ServiceId{ static_cast<std::uint32_t>(base::HashText(aName)) };
}

/// Returns the shard of the flow with hash `aHash`. Thread safe.
constexpr std::uint8_t
ShardOf(std::uint64_t aHash)
{
  return static_cast<std::uint8_t>((aHash >> 56) % kShardsPerService);
}

/// Returns the row and fingerprint of the flow with hash `aHash`. Thread safe.
constexpr FlowId
FlowIdOf(std::uint64_t aHash)
{
  return FlowId{ static_cast<std::uint16_t>((aHash >> 40) % kRowsPerShard),
                 static_cast<std::uint32_t>(aHash) };
}

/// Returns the hash by which hosts are ranked as owners of a service's shards.
/// Thread safe.
constexpr std::uint64_t
HashService(const ServiceId& aService)
{
  return base::Mix(aService.m_value + 1ULL);
}

/// Returns a hash of `aKey` that differs between shards. Thread safe.
constexpr std::uint64_t
HashShard(const ShardKey& aKey)
{
  return base::Combine(aKey.m_service.m_value, aKey.m_shard);
}

} // namespace wasabiloom::steering
