/// Callers that send requests, and the backend servers that run them.
#pragma once

#include "Fleet.h"

#include <map>
#include <random>
#include <set>
#include <string>

namespace wasabiloom::scenario {

/// First tag of packets that belong to requests, above those of flows.
constexpr std::int64_t kFirstRequestTag = std::int64_t{ 1 } << 40;

/// Sends requests at a steady rate, repeats them until a reply or the
/// deadline, runs them on backend servers with a few slots, and checks what
/// callers are told. One thread at a time.
class RequestLoad
{
public:
  /// The references must outlive the load.
  RequestLoad(const Script& aScript,
              const Site& aSite,
              Fleet& aFleet,
              EventQueue& aQueue,
              Measures& aMeasures,
              std::uint64_t aSeed);

  /// Starts asking.
  void Start();

  /// A host sent a datagram to the backend server at `aTo`.
  void OnBackendDatagram(const base::Endpoint& aTo,
                         const request::Envelope& aEnvelope,
                         int aHost);

  /// A host sent a datagram to a caller.
  void OnCallerDatagram(const request::Envelope& aEnvelope);

  /// Adds the measures of a run.
  void Summarize();

private:
  struct Asked
  {
    std::size_t m_spec = 0;
    packet::FlowKey m_flow;
    request::Envelope m_envelope;
    base::Instant m_since;
    std::set<std::uint32_t> m_parts;
    bool m_settled = false;
    int m_runs = 0;
  };

  void Ask(std::size_t aSpec);
  void Send(const std::string& aId);
  void Settle(Asked& aAsked, const std::string& aOutcome);
  void RunRequest(const std::string& aTarget,
                  const request::Envelope& aEnvelope,
                  int aHost);
  void CountRun(const std::string& aId);
  void Reply(const request::Envelope& aReply, int aHost);
  std::string NewId();

  const Script& m_script;
  const Site& m_site;
  Fleet& m_fleet;
  EventQueue& m_queue;
  Measures& m_measures;
  std::mt19937_64 m_random;
  std::map<std::string, Asked> m_asked;
  /// Requests that each backend server runs now, by dispatch id.
  std::map<std::string, std::set<std::string>> m_running;
};

} // namespace wasabiloom::scenario
