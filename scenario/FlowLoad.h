/// Callers that hold flows open, and what becomes of them.
#pragma once

#include "Fleet.h"

#include "wasabiloom/packet/IpWriter.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace wasabiloom::scenario {

/// Opens flows, sends on them, notices the broken ones, and keeps their number
/// steady. One thread at a time.
class FlowLoad
{
public:
  /// The references must outlive the load.
  FlowLoad(const Script& aScript,
           const Site& aSite,
           Fleet& aFleet,
           EventQueue& aQueue,
           Measures& aMeasures,
           std::uint64_t aSeed);

  /// Starts opening flows.
  void Start();

  /// A host sent packet `aTag` to the backend server at `aTo`.
  void OnForwarded(std::int64_t aTag,
                   const base::Endpoint& aTo,
                   const std::string& aHost);

  /// Packet `aTag` will not arrive.
  void OnLost(std::int64_t aTag, const std::string& aWhy);

  /// A backend server died: its flows are lost, not broken.
  void OnTargetKilled(const std::string& aTarget);

  /// A zone may have been taken out: flows that end in it are given up.
  void OnZonesChanged();

  bool IsDead(const std::string& aTarget) const
  {
    return m_deadTargets.contains(aTarget);
  }

  /// Open flows of a backend server; a dead one has none.
  std::uint32_t OpenOn(const std::string& aTarget) const;

  /// Adds the measures of balance at the end of a run.
  void Summarize();

  /// Key of a flow, for traces. Precondition: the flow exists.
  packet::FlowKey KeyOf(std::int64_t aFlow) const;

private:
  enum class State : std::uint8_t
  {
    Opening,
    Open,
    Ended,
  };

  struct Flow
  {
    std::size_t m_spec = 0;
    packet::FlowKey m_key;
    State m_state = State::Opening;
    std::string m_target;
    base::Instant m_askedAt;
    base::Instant m_endsAt;
    int m_losses = 0;
    bool m_givenUp = false;
  };

  void OpenNew(std::size_t aSpec);
  void SendPacket(std::int64_t aFlow, packet::TcpKind aKind);
  void SendNext(std::int64_t aFlow);
  void OnOpened(std::int64_t aFlow, const std::string& aTarget);
  void CheckPromises(std::int64_t aFlow,
                     const bundle::Target& aTarget,
                     const std::string& aService,
                     const std::string& aHost);
  bool IsInZoneOut(const std::string& aTarget) const;
  void End(std::int64_t aFlow);
  void Break(std::int64_t aFlow, const std::string& aHow);
  base::Duration RandomLife(const FlowSpec& aSpec);
  base::Duration RandomGap(const FlowSpec& aSpec);

  const Script& m_script;
  const Site& m_site;
  Fleet& m_fleet;
  EventQueue& m_queue;
  Measures& m_measures;
  std::mt19937_64 m_random;
  std::vector<Flow> m_flows;
  std::set<std::string> m_deadTargets;
  std::map<std::string, std::uint32_t> m_openOn;
};

} // namespace wasabiloom::scenario
