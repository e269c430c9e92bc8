/// The services of the bundle in force, as they run on this host.
#pragma once

#include "wasabiloom/bundle/Keys.h"
#include "wasabiloom/core/ServiceRuntime.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wasabiloom::core {

/// Adopts bundles and finds services. A bundle only ever replaces one of a
/// lower version. One thread at a time.
class ServiceCatalog
{
public:
  using Services =
    std::map<steering::ServiceId, std::unique_ptr<ServiceRuntime>>;

  /// `aInstance` differs for every process of every host. The references must
  /// outlive the catalog.
  ServiceCatalog(std::uint32_t aInstance,
                 std::vector<bundle::PublicKey> aTrustedKeys,
                 const peer::HostView& aView,
                 peer::Outbox& aOutbox,
                 Effects& aEffects);

  /// Checks and adopts a signed bundle. Errors: the codes of OpenBundle,
  /// BundleVersionNotNewer; on error nothing changes.
  base::Result<void> Adopt(std::string_view aSigned);

  /// Names of backend servers that the host list calls leaving.
  void SetLeaving(const std::vector<std::string>& aNames);

  /// Service at `aAddress`, or null.
  ServiceRuntime* Find(const packet::ServiceAddress& aAddress) const;

  /// Service with identity `aId`, or null.
  ServiceRuntime* Find(const steering::ServiceId& aId) const;

  /// Version of the bundle in force; 0 before the first.
  std::uint64_t Version() const { return m_bundle.m_version; }

  /// The bundle in force as it was published; empty before the first.
  const std::string& SignedBundle() const { return m_signedBundle; }

  const Services& All() const { return m_services; }

  /// Whether there is a bundle and every service has its tables.
  bool IsComplete() const;

  /// Whether no service has a change or a request in progress.
  bool IsIdle() const;

private:
  void Install();

  std::uint32_t m_instance;
  std::vector<bundle::PublicKey> m_trustedKeys;
  const peer::HostView& m_view;
  peer::Outbox& m_outbox;
  Effects& m_effects;
  bundle::Bundle m_bundle;
  std::string m_signedBundle;
  std::vector<std::string> m_leaving;
  Services m_services;
  std::unordered_map<std::uint64_t, ServiceRuntime*> m_byAddress;
};

} // namespace wasabiloom::core
