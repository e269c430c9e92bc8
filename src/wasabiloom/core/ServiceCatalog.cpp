#include "wasabiloom/core/ServiceCatalog.h"

#include "wasabiloom/bundle/SignedBundle.h"

#include <algorithm>

namespace wasabiloom::core {

namespace {

constexpr int kProtocolBits = 8;

std::uint64_t
AddressKey(const packet::ServiceAddress& aAddress)
{
  return (base::Pack(aAddress.m_endpoint) << kProtocolBits) |
         static_cast<std::uint64_t>(aAddress.m_protocol);
}

} // namespace

ServiceCatalog::ServiceCatalog(std::uint32_t aInstance,
                               std::vector<bundle::PublicKey> aTrustedKeys,
                               const peer::HostView& aView,
                               peer::Outbox& aOutbox,
                               Effects& aEffects)
  : m_instance(aInstance)
  , m_trustedKeys(std::move(aTrustedKeys))
  , m_view(aView)
  , m_outbox(aOutbox)
  , m_effects(aEffects)
{
}

base::Result<void>
ServiceCatalog::Adopt(std::string_view aSigned)
{
  BOOST_LEAF_AUTO(bundle, bundle::OpenBundle(aSigned, m_trustedKeys));
  if (bundle.m_version <= m_bundle.m_version) {
    return base::Fail(base::ResultCode::BundleVersionNotNewer,
                      "version " + std::to_string(bundle.m_version) +
                        ", expected above " +
                        std::to_string(m_bundle.m_version));
  }
  m_signedBundle = aSigned;
  m_bundle = bundle;
  Install();
  return {};
}

void
ServiceCatalog::Install()
{
  m_byAddress.clear();
  Services kept;
  for (const bundle::Service& service : m_bundle.m_services) {
    const auto id = steering::MakeServiceId(service.m_name);
    auto& runtime = kept[id];
    const auto existing = m_services.find(id);
    if (existing != m_services.end()) {
      runtime = std::move(existing->second);
    } else {
      runtime = std::make_unique<ServiceRuntime>(
        service, m_instance, m_view, m_outbox, m_effects);
    }
    runtime->Adopt(m_bundle, service);
    runtime->SetLeaving(m_leaving);
    m_byAddress[AddressKey(service.m_address)] = runtime.get();
  }
  m_services = std::move(kept);
}

void
ServiceCatalog::SetLeaving(const std::vector<std::string>& aNames)
{
  m_leaving = aNames;
  for (const auto& [id, service] : m_services) {
    service->SetLeaving(m_leaving);
  }
}

ServiceRuntime*
ServiceCatalog::Find(const packet::ServiceAddress& aAddress) const
{
  const auto found = m_byAddress.find(AddressKey(aAddress));
  return found == m_byAddress.end() ? nullptr : found->second;
}

ServiceRuntime*
ServiceCatalog::Find(const steering::ServiceId& aId) const
{
  const auto found = m_services.find(aId);
  return found == m_services.end() ? nullptr : found->second.get();
}

bool
ServiceCatalog::IsComplete() const
{
  return Version() > 0 &&
         std::ranges::all_of(m_services, [](const auto& aItem) {
           return aItem.second->HasTables();
         });
}

bool
ServiceCatalog::IsIdle() const
{
  return std::ranges::none_of(m_services, [](const auto& aItem) {
    return aItem.second->IsBusy() ||
           aItem.second->Requests().InProgressCount() > 0;
  });
}

} // namespace wasabiloom::core
