/// The entry host under the token policy, without sockets, threads or clocks.
#pragma once

#include "wasabiloom/fleet/LocalFacts.h"
#include "wasabiloom/registry/Reader.h"
#include "wasabiloom/token/Decision.h"
#include "wasabiloom/token/FlowTracker.h"
#include "wasabiloom/token/RegistryEventLog.h"
#include "wasabiloom/token/ServerSelector.h"
#include "wasabiloom/token/TokenEffects.h"

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
constexpr base::Duration kMaxHoldTime = std::chrono::milliseconds(1000);

/// A process that did not run for this long doubts what it knows.
constexpr base::Duration kPauseLimit = std::chrono::milliseconds(1000);

/// New flows wait at most so long for news after a pause.
constexpr base::Duration kMaxRefreshWait = std::chrono::milliseconds(400);

/// A flow whose token leads nowhere is reset when nothing came to explain the
/// token for so long.
constexpr base::Duration kUnknownTokenGrace = std::chrono::seconds(3);

/// A token that leads nowhere is worth a call when the news is older.
constexpr base::Duration kUnknownTokenMaxAge = std::chrono::milliseconds(250);

/// A flow silent for longer does not count as load.
constexpr base::Duration kFlowIdleTimeout = std::chrono::seconds(4);

/// Delivers packets by the token that they carry and places new flows. Equal
/// inputs give equal outputs. One thread at a time.
class TokenHost final : public fleet::LocalFacts
{
public:
  /// The references must outlive the host. `aSeed` differs between processes.
  TokenHost(TokenHostIdentity aIdentity,
            const registry::ReaderTiming& aTiming,
            std::uint64_t aSeed,
            const packet::TokenCodec& aCodec,
            TokenEffects& aEffects);
  ~TokenHost() override;
  TokenHost(const TokenHost&) = delete;
  TokenHost& operator=(const TokenHost&) = delete;

  /// A datagram from the callers' side.
  void OnPacket(std::span<const std::byte> aBytes, base::Instant aNow);

  /// The call on the registry that is due; see Reader::Next.
  registry::ReaderCall NextCall(base::Instant aNow);
  void OnListAnswer(const registry::ListResult& aAnswer, base::Instant aNow);
  void OnWatchAnswer(const registry::WatchResult& aAnswer, base::Instant aNow);

  registry::UpdateOutcome OnPeerUpdate(const registry::RegistryUpdate& aNews,
                                       base::Instant aNow) override;
  std::optional<registry::RegistryUpdate> UpdateSince(
    std::uint64_t aRevision,
    base::Instant aNow) const override;
  /// See Reader::Freshness.
  std::optional<registry::RegistryUpdate> Freshness(base::Instant aNow) const
  {
    return m_reader.FreshnessUpdate(aNow);
  }
  base::Instant AnsweredAt() const override { return m_reader.AnsweredAt(); }
  base::Instant LearnedAt() const override { return m_reader.LearnedAt(); }
  std::uint64_t Revision() const override { return m_reader.Revision(); }
  void SetMaxUpdateAge(base::Duration aPatience, bool aStandsBy) override;
  bool HasListed() const override { return m_cache.HasCompleteListing(); }
  bool IsFailing() const override { return m_reader.IsFailing(); }
  void HoldListing(base::Instant aUntil) override;

  /// Time passed. To be called a few times a second.
  void OnTick(base::Instant aNow);

  /// Whether the host knows enough to place flows.
  bool IsReady() const override
  {
    return m_cache.IsComplete() && m_reader.IsConfirmed();
  }

  /// Whether the registry has not answered for `aSpan`.
  bool IsRegistryUnreachable(base::Duration aSpan, base::Instant aNow) const;

  /// Adopts settings that may change while the host runs.
  void SetZoneOutGrace(base::Duration aGrace);

  const Totals& GetTotals() const { return m_totals; }
  const registry::RegistryCache& GetCache() const { return m_cache; }
  std::size_t FlowCount() const { return m_flows.Size(); }

private:
  struct Held
  {
    std::vector<std::byte> m_bytes;
    base::Instant m_at;
  };

  void Hold(std::span<const std::byte> aBytes,
            const packet::TokenPacket& aPacket,
            base::Instant aNow);
  void ReleaseHeld(base::Instant aNow);
  void NotePause(base::Instant aNow);
  bool NeedsFreshState(base::Instant aNow) const;
  void Open(std::span<const std::byte> aBytes,
            const packet::TokenPacket& aPacket,
            base::Instant aNow);
  void Continue(std::span<const std::byte> aBytes,
                const packet::TokenPacket& aPacket,
                base::Instant aNow);
  void OnUnknownToken(const packet::TokenPacket& aPacket, base::Instant aNow);
  void Deliver(std::span<const std::byte> aBytes,
               const registry::ServerRecord& aServer);
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
  Totals m_totals;
  RegistryEventLog m_log;
  registry::RegistryCache m_cache;
  registry::Reader m_reader;
  FlowTracker m_flows;
  ServerSelector m_servers;
  std::deque<Held> m_held;
  base::Instant m_sweptAt;
  base::Instant m_ranAt;
  base::Instant m_wokeAt;
};

} // namespace wasabiloom::token
