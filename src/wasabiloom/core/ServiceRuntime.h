/// One service as it runs on this host.
#pragma once

#include "wasabiloom/bundle/Bundle.h"
#include "wasabiloom/core/HealthMonitor.h"
#include "wasabiloom/core/Status.h"
#include "wasabiloom/request/RequestDispatcher.h"
#include "wasabiloom/steering/ShardAgent.h"

#include <memory>
#include <string>
#include <vector>

namespace wasabiloom::core {

/// Directory, shards and requests of one service. One thread at a time.
class ServiceRuntime
{
public:
  /// `aInstance` differs for every process of every host. The references must
  /// outlive the runtime.
  ServiceRuntime(const bundle::Service& aService,
                 std::uint32_t aInstance,
                 const peer::HostView& aView,
                 peer::Outbox& aOutbox,
                 Effects& aEffects);

  /// Adopts the service's part of a bundle. Precondition: same name.
  void Adopt(const bundle::Bundle& aBundle, const bundle::Service& aService);

  /// Names of backend servers that the host list calls leaving.
  void SetLeaving(const std::vector<std::string>& aNames);

  /// Drives table changes and requests.
  /// See ShardAgent::Tick.
  void Tick(bool aMayCreate,
            bool aMayAsk,
            std::uint64_t aBundleVersion,
            base::Instant aNow);

  /// Whether every shard has a table. True for services in request mode.
  bool HasTables() const;

  /// Stops using the tables until peers have confirmed or replaced them.
  void RevalidateTables();

  /// Whether a change started by this host is under way.
  bool IsBusy() const;

  steering::ShardAgent& Shard(std::uint8_t aShard) { return *m_shards[aShard]; }
  steering::TargetDirectory& Directory() { return m_directory; }
  request::RequestDispatcher& Requests() { return m_requests; }
  HealthMonitor& Health() { return m_health; }
  const request::RequestDispatcher& Requests() const { return m_requests; }
  const bundle::Service& Service() const { return m_service; }

  /// Flows this host has seen and not forgotten.
  std::size_t FlowCount() const;

  /// Bytes of memory that remembered and pinned flows occupy.
  std::size_t FlowMemoryBytes() const;

  ServiceStatus Status() const;

private:
  void TellDirectoryChanged();
  std::vector<std::uint32_t> CountSeen(base::Instant aNow) const;
  bool UsesTables() const
  {
    return m_service.m_mode == bundle::ServiceMode::Connections;
  }

  bundle::Service m_service;
  steering::TargetDirectory m_directory;
  std::vector<std::unique_ptr<steering::ShardAgent>> m_shards;
  request::RequestDispatcher m_requests;
  HealthMonitor m_health;
};

} // namespace wasabiloom::core
