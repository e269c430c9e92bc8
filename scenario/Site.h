/// What the operators and the platform publish in a scenario.
#pragma once

#include "Script.h"

#include "wasabiloom/bundle/Bundle.h"
#include "wasabiloom/bundle/Keys.h"
#include "wasabiloom/core/Inputs.h"

#include <map>
#include <optional>
#include <string>

namespace wasabiloom::scenario {

/// Ports of every entry host in scenarios.
constexpr std::uint16_t kPeerPort = 6082;
constexpr std::uint16_t kRelayPort = 6081;

/// Name of the entry host with index `aIndex`, from 0: h1, h2, ...
std::string
HostName(int aIndex);

/// Address of the entry host with index `aIndex`.
base::Ipv4Address
HostAddress(int aIndex);

/// Bundle and host list as they stand, and since when promises about single
/// backend servers and zones hold. One thread at a time.
class Site
{
public:
  explicit Site(const Script& aScript);

  const bundle::Bundle& Bundle() const { return m_bundle; }
  const core::HostList& List() const { return m_list; }
  const bundle::PublicKey& Key() const { return m_keys.m_public; }

  /// The bundle as published. Precondition: the bundle is valid.
  std::string SignedBundle() const;

  /// Raises the bundle's version.
  void NextVersion() { ++m_bundle.m_version; }

  /// Raises the list's revision.
  void NextRevision() { ++m_list.m_revision; }

  /// Backend server named `aName`, or null.
  bundle::Target* FindTarget(const std::string& aName);

  /// Backend server and service at `aEndpoint`, or null.
  const bundle::Target* TargetAt(const base::Endpoint& aEndpoint,
                                 std::string& aService) const;

  /// Backend server with `aAddress`, or null.
  const bundle::Target* TargetWithAddress(
    const base::Ipv4Address& aAddress) const;

  /// Adds one backend server to the service. False without such a service.
  bool AddTarget(const std::string& aService);

  /// Sets a zone's state. False without such a zone.
  bool SetZone(const std::string& aZone,
               bundle::ZoneState aState,
               base::Instant aNow);

  /// Marks a backend server as leaving or as back.
  void SetLeaving(const std::string& aTarget,
                  bool aLeaving,
                  base::Instant aNow);

  /// Marks a backend server as leaving in the host list only.
  void SetListedLeaving(const std::string& aTarget, base::Instant aNow);

  /// Since when the backend server is leaving; empty when it is not.
  std::optional<base::Instant> LeavingSince(const std::string& aTarget) const;

  /// Since when the zone is out; empty when it is not.
  std::optional<base::Instant> OutSince(const std::string& aZone) const;

private:
  bundle::KeyPair m_keys;
  bundle::Bundle m_bundle;
  core::HostList m_list;
  std::map<std::string, base::Instant> m_leavingSince;
  std::map<std::string, base::Instant> m_outSince;
};

} // namespace wasabiloom::scenario
