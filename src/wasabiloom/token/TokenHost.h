/// The entry host under the token policy, without sockets, threads or clocks.
#pragma once

#include "wasabiloom/placing/LatencyBook.h"
#include "wasabiloom/placing/Placer.h"
#include "wasabiloom/placing/Suspicion.h"
#include "wasabiloom/registry/Reader.h"
#include "wasabiloom/token/Decision.h"
#include "wasabiloom/token/FlowMemory.h"

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

namespace wasabiloom::token {

/// Who the host is, and the bounds it keeps.
struct TokenHostIdentity
{
  std::string m_name;
  std::string m_zone;
  /// Port at which callers' machines take packets.
  std::uint16_t m_returnPort = 0;
  /// Packets of open flows reach a zone for so long after it was taken out.
  base::Duration m_zoneOutGrace = std::chrono::seconds(4);

  friend auto operator<=>(const TokenHostIdentity&,
                          const TokenHostIdentity&) = default;
};

/// Packets kept while the host knows too little, and for how long.
constexpr std::size_t kMaxHeld = 256;
constexpr base::Duration kHoldTime = std::chrono::milliseconds(1000);

/// A process that did not run for this long doubts what it knows.
constexpr base::Duration kPauseLimit = std::chrono::milliseconds(1000);

/// New flows wait at most so long for news after a pause.
constexpr base::Duration kWakeDoubt = std::chrono::milliseconds(400);

/// A flow whose token leads nowhere is reset when nothing came to explain the
/// token for so long.
constexpr base::Duration kUnknownTokenGrace = std::chrono::seconds(3);

/// A flow is reset when its server has been gone for so long, or has lapsed
/// and leaves callers unanswered, and no caller heard from it lately.
constexpr base::Duration kGoneGrace = std::chrono::milliseconds(500);
constexpr base::Duration kSilentForCertainty = std::chrono::milliseconds(2500);

/// A flow silent for longer does not count as load.
constexpr base::Duration kLoadIdle = std::chrono::seconds(4);

/// What the host asks its driver to do. Called only from inside the host's
/// inputs; must not call back.
class TokenEffects
{
public:
  virtual ~TokenEffects();

  /// Sends a datagram to a backend server or a caller. The bytes live until
  /// the call returns.
  virtual void Send(const base::Endpoint& aTo,
                    std::span<const std::byte> aBytes) = 0;

  /// Records a decision that touches a flow.
  virtual void LogDecision(const Decision& aDecision) = 0;

  /// Records a change of belief: what, and details as key=value.
  virtual void LogBelief(std::string_view aWhat,
                         const std::string& aDetail) = 0;
};

/// Delivers packets by the token that they carry and places new flows. Equal
/// inputs give equal outputs. One thread at a time.
class TokenHost final : private registry::ReaderEvents
{
public:
  /// The references must outlive the host. `aSeed` differs between processes.
  TokenHost(TokenHostIdentity aIdentity,
            const registry::ReaderTiming& aTiming,
            std::uint64_t aSeed,
            const packet::TokenCodec& aCodec,
            TokenEffects& aEffects);
  ~TokenHost() override;

  /// A datagram from the callers' side.
  void OnPacket(std::span<const std::byte> aBytes, base::Instant aNow);

  /// The call on the registry that is due; see Reader::Next.
  registry::ReaderCall NextCall(base::Instant aNow);
  void OnListAnswer(const registry::ListAnswer& aAnswer, base::Instant aNow);
  void OnWatchAnswer(const registry::WatchAnswer& aAnswer, base::Instant aNow);

  /// What a peer believes. Returns whether it was of use.
  bool OnPeerFacts(const registry::Page& aFacts, base::Instant aNow);

  /// What this host can tell a peer; its revision is 0 while it knows nothing.
  registry::Page FactsForPeer() const;

  /// Time passed. To be called a few times a second.
  void OnTick(base::Instant aNow);

  /// Whether the host knows enough to place flows.
  bool IsReady() const { return m_beliefs.IsComplete(); }

  /// Whether the registry has not answered for `aSpan`.
  bool IsCutOff(base::Duration aSpan, base::Instant aNow) const;

  /// Adopts settings that may change while the host runs.
  void SetZoneOutGrace(base::Duration aGrace);

  const Totals& GetTotals() const { return m_totals; }
  const registry::Beliefs& GetBeliefs() const { return m_beliefs; }
  std::size_t FlowCount() const { return m_flows.Size(); }
  std::uint64_t Revision() const { return m_reader.Revision(); }

private:
  struct Held
  {
    std::vector<std::byte> m_bytes;
    base::Instant m_at;
  };

  void OnFact(const registry::Fact& aFact, registry::Outcome aOutcome) override;
  void OnCallFailed(const registry::CallFailure& aFailure,
                    std::uint32_t aFailures,
                    base::Duration aPause) override;
  void OnReachable(std::uint64_t aRevision) override;
  void OnListed(std::uint64_t aRevision, std::size_t aFacts) override;

  void Hold(std::span<const std::byte> aBytes,
            const packet::TokenPacket& aPacket,
            base::Instant aNow);
  void ReleaseHeld(base::Instant aNow);
  void NotePause(base::Instant aNow);
  bool DoubtsItself(base::Instant aNow) const;
  void Open(std::span<const std::byte> aBytes,
            const packet::TokenPacket& aPacket,
            base::Instant aNow);
  void Continue(std::span<const std::byte> aBytes,
                const packet::TokenPacket& aPacket,
                base::Instant aNow);
  void NoteProgress(const packet::TokenPacket& aPacket,
                    const registry::ServerBelief& aServer,
                    FlowRecord& aRecord,
                    base::Instant aNow);
  std::vector<placing::Candidate> CandidatesOf(std::string_view aService,
                                               base::Instant aNow) const;
  void DoubtZone(const registry::ServerBelief& aServer, base::Instant aNow);
  bool IsSuspect(const registry::ServerBelief& aServer,
                 base::Instant aNow) const;
  bool MayTakeFlow(const registry::ServerBelief& aServer) const;
  bool IsCertainlyGone(const registry::ServerBelief& aServer,
                       base::Instant aNow) const;
  void OnUnknownToken(const packet::TokenPacket& aPacket, base::Instant aNow);
  void Deliver(std::span<const std::byte> aBytes,
               const registry::ServerBelief& aServer);
  void Reset(const packet::TokenPacket& aPacket, Decision aDecision);
  void Drop(const packet::TokenPacket& aPacket,
            Decision aDecision,
            base::Instant aNow);
  Decision Describe(const packet::TokenPacket& aPacket,
                    Reason aReason,
                    base::Instant aNow) const;
  void Record(const Decision& aDecision, bool aLog);

  TokenHostIdentity m_identity;
  const packet::TokenCodec& m_codec;
  TokenEffects& m_effects;
  registry::Beliefs m_beliefs;
  registry::Reader m_reader;
  placing::Suspicion m_suspicion;
  /// Doubt about whole zones other than the own one, by ZoneKey.
  placing::Suspicion m_zoneSuspicion;
  placing::LatencyBook m_latencies;
  FlowMemory m_flows;
  std::deque<Held> m_held;
  Totals m_totals;
  base::Instant m_sweptAt;
  base::Instant m_ranAt;
  base::Instant m_wokeAt;
};

/// Service of `aRoute` that takes the flow with hash `aHash`, by weight; empty
/// when the route names none. Thread safe.
std::string_view
ChooseService(const registry::Route& aRoute, std::uint64_t aHash);

} // namespace wasabiloom::token
