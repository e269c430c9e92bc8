/// Datagrams that entry hosts exchange under the token policy, as values.
#pragma once

#include "wasabiloom/fleet/Member.h"
#include "wasabiloom/registry/RegistryUpdate.h"

#include <variant>
#include <vector>

namespace wasabiloom::fleet {

/// Asks whether the receiver lives.
struct Probe
{
  std::uint32_t m_sequence = 0;
  /// The sender wants to hear of every member.
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

/// Carries statements only.
struct MemberList
{
  friend auto operator<=>(const MemberList&, const MemberList&) = default;
};

/// News, and the hosts to which the receiver passes it on.
struct RelayedUpdate
{
  registry::RegistryUpdate m_update;
  /// Pass on to the receiver's whole zone.
  bool m_toZone = false;
  /// Pass on to these.
  std::vector<base::Ipv4Address> m_passTo;

  friend auto operator<=>(const RelayedUpdate&, const RelayedUpdate&) = default;
};

/// The sender looks for a host that can tell it the registry's facts.
struct FactsWanted
{
  friend auto operator<=>(const FactsWanted&, const FactsWanted&) = default;
};

/// The sender can tell the registry's facts from now on.
struct FactsKnown
{
  friend auto operator<=>(const FactsKnown&, const FactsKnown&) = default;
};

/// Answers FactsWanted, at once and again when there is more to say.
struct Providers
{
  /// Hosts that can tell the facts, best first.
  std::vector<base::Ipv4Address> m_addresses;
  /// Hosts that asked before the receiver and list the registry themselves.
  std::uint32_t m_listersBefore = 0;
  /// The sender has listed the registry and waits, as no configuration is
  /// there yet.
  bool m_awaitsConfiguration = false;

  friend auto operator<=>(const Providers&, const Providers&) = default;
};

/// The registry did not answer the sender.
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
                             RegistrySilent>;

/// One datagram.
struct Message
{
  /// What the sender says of itself.
  Member m_sender;
  /// What it says of others.
  std::vector<Member> m_updates;
  Content m_content;

  friend bool operator==(const Message&, const Message&) = default;
};

} // namespace wasabiloom::fleet
