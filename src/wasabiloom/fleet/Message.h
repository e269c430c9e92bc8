/// Datagrams that entry hosts exchange under the token policy, as decoded
/// values.
#pragma once

#include "wasabiloom/fleet/LoadReport.h"
#include "wasabiloom/fleet/Member.h"
#include "wasabiloom/registry/RegistryUpdate.h"

#include <variant>
#include <vector>

namespace wasabiloom::fleet {

/// Asks whether the receiver is alive.
struct Probe
{
  std::uint32_t m_sequence = 0;
  /// Whether the sender asks for statements on all members.
  bool m_wantsAll = false;

  friend auto operator<=>(const Probe&, const Probe&) = default;
};

/// Answers a Probe, or a ProbeRequest once its target has answered.
struct ProbeAnswer
{
  std::uint32_t m_sequence = 0;

  friend auto operator<=>(const ProbeAnswer&, const ProbeAnswer&) = default;
};

/// Asks the receiver to probe `m_target` on the sender's behalf.
struct ProbeRequest
{
  std::uint32_t m_sequence = 0;
  base::Ipv4Address m_target;

  friend auto operator<=>(const ProbeRequest&, const ProbeRequest&) = default;
};

/// Carries statements on members only.
struct MemberList
{
  friend auto operator<=>(const MemberList&, const MemberList&) = default;
};

/// An update from the registry, with the hosts to which the receiver forwards
/// it.
struct RelayedUpdate
{
  registry::RegistryUpdate m_update;
  /// Whether the receiver forwards the update to its whole zone.
  bool m_toZone = false;
  /// Hosts to which the receiver forwards the update.
  std::vector<base::Ipv4Address> m_passTo;

  friend auto operator<=>(const RelayedUpdate&, const RelayedUpdate&) = default;
};

/// Asks for a host that can provide the facts of the registry.
struct FactsWanted
{
  friend auto operator<=>(const FactsWanted&, const FactsWanted&) = default;
};

/// Announces that the sender can provide the facts of the registry from now on.
struct FactsKnown
{
  friend auto operator<=>(const FactsKnown&, const FactsKnown&) = default;
};

/// Answers FactsWanted, at once and again when a provider becomes free.
struct Providers
{
  /// Hosts that can provide the facts, best first.
  std::vector<base::Ipv4Address> m_addresses;
  /// Number of hosts that asked before the receiver and list the registry
  /// themselves.
  std::uint32_t m_listersBefore = 0;
  /// Whether the sender has listed the registry and waits, as it holds no
  /// configuration yet.
  bool m_awaitsConfiguration = false;

  friend auto operator<=>(const Providers&, const Providers&) = default;
};

/// Reports that the registry did not answer the sender.
struct RegistrySilent
{
  friend auto operator<=>(const RegistrySilent&,
                          const RegistrySilent&) = default;
};

using Content = std::variant<Probe,
                             ProbeAnswer,
                             ProbeRequest,
                             MemberList,
                             RelayedUpdate,
                             FactsWanted,
                             FactsKnown,
                             Providers,
                             RegistrySilent,
                             LoadReport>;

/// One datagram.
struct Message
{
  /// The statement of the sender on itself.
  Member m_sender;
  /// Statements on members that the message carries along.
  std::vector<Member> m_updates;
  Content m_content;

  friend bool operator==(const Message&, const Message&) = default;
};

} // namespace wasabiloom::fleet
