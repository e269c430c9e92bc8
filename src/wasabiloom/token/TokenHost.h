/// Entry host under the token policy: the packet and registry logic, without
/// sockets, threads or clocks.
#pragma once

#include "wasabiloom/fleet/LocalFacts.h"
#include "wasabiloom/fleet/LocalLoad.h"
#include "wasabiloom/placing/LoadTable.h"
#include "wasabiloom/registry/Reader.h"
#include "wasabiloom/token/Decision.h"
#include "wasabiloom/token/FlowTracker.h"
#include "wasabiloom/token/RegistryEventLog.h"
#include "wasabiloom/token/ServerSelector.h"
#include "wasabiloom/token/ServingDecision.h"
#include "wasabiloom/token/TokenEffects.h"

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

namespace wasabiloom::token {

/// Identity and limits of a host.
struct TokenHostIdentity
{
  std::string m_name;
  std::string m_zone;
  /// Port on which callers' machines receive packets from hosts.
  std::uint16_t m_returnPort = 0;
  /// Time after the removal of a zone from service during which packets of open
  /// flows are still delivered to it.
  base::Duration m_zoneOutGrace = std::chrono::seconds(4);
  LoadFeatures m_load{};

  friend auto operator<=>(const TokenHostIdentity&,
                          const TokenHostIdentity&) = default;
};

/// Maximum number of packets queued until the host has enough registry state;
/// bounds memory.
constexpr std::size_t kMaxHeld = 256;

/// Age above which a queued packet is discarded instead of delivered.
constexpr base::Duration kMaxHoldTime = std::chrono::milliseconds(1000);

/// Time without running after which the process assumes that its registry state
/// is out of date.
constexpr base::Duration kPauseLimit = std::chrono::milliseconds(1000);

/// Longest time after such a pause for which new flows are queued to wait for
/// registry updates.
constexpr base::Duration kMaxRefreshWait = std::chrono::milliseconds(400);

/// Time after the first packet of a flow with an unknown token after which the
/// flow is reset, provided that the registry is reachable and that its state
/// was confirmed meanwhile.
constexpr base::Duration kUnknownTokenGrace = std::chrono::seconds(3);

/// Age of the registry state above which an unknown token triggers a call on
/// the registry.
constexpr base::Duration kUnknownTokenMaxAge = std::chrono::milliseconds(250);

/// Time without a packet after which a flow is removed and no longer counts as
/// load.
constexpr base::Duration kFlowIdleTimeout = std::chrono::seconds(4);

/// Interval at which the slots of all servers are counted for the shared load.
/// A count takes about 0.1 us per server.
constexpr base::Duration kSlotsInterval = std::chrono::milliseconds(500);

/// Delivers packets by the token that they carry and places new flows.
/// Deterministic: equal inputs give equal outputs. Not thread safe.
class TokenHost final
  : public fleet::LocalFacts
  , public fleet::LocalLoad
{
public:
  /// The references must outlive the host. `aSeed` must differ between
  /// processes. `aSharedLoad` replaces the host's own LoadTable if it is not
  /// null.
  TokenHost(TokenHostIdentity aIdentity,
            const registry::ReaderTiming& aTiming,
            std::uint64_t aSeed,
            const packet::TokenCodec& aCodec,
            TokenEffects& aEffects,
            const placing::SharedLoad* aSharedLoad = nullptr);
  ~TokenHost() override;
  TokenHost(const TokenHost&) = delete;
  TokenHost& operator=(const TokenHost&) = delete;

  /// Handles a datagram from a caller.
  void OnPacket(std::span<const std::byte> aBytes, base::Instant aNow);

  /// Returns the call on the registry that is due, if any; see Reader::Next.
  registry::ReaderCall NextCall(base::Instant aNow);
  void OnListAnswer(const registry::ListResult& aAnswer, base::Instant aNow);
  void OnWatchAnswer(const registry::WatchResult& aAnswer, base::Instant aNow);

  registry::UpdateOutcome OnPeerUpdate(const registry::RegistryUpdate& aUpdate,
                                       base::Instant aNow) override;
  std::optional<registry::RegistryUpdate> UpdateSince(
    const registry::RegistryRevision& aRevision,
    base::Instant aNow) const override;
  /// See Reader::FreshnessUpdate.
  std::optional<registry::RegistryUpdate> Freshness(base::Instant aNow) const
  {
    return m_reader.FreshnessUpdate(aNow);
  }
  base::Instant AnsweredAt() const override { return m_reader.AnsweredAt(); }
  base::Instant LearnedAt() const override { return m_reader.LearnedAt(); }
  registry::RegistryRevision Revision() const override
  {
    return m_reader.Revision();
  }
  registry::RegistryRevision PullFrom(base::Instant aNow) const override
  {
    return m_cache.PullFrom(aNow);
  }
  bool LacksKeptFacts(base::Instant aNow) const override
  {
    return m_cache.LacksKeptFacts(aNow);
  }
  void SetMaxUpdateAge(base::Duration aMaxUpdateAge, bool aStandsBy) override;
  bool HasListed() const override { return m_cache.HasCompleteListing(); }
  bool IsFailing() const override { return m_reader.IsFailing(); }
  void HoldListing(base::Instant aUntil) override;

  placing::HostLoad TakeLoad(base::Instant aNow) override;
  void SetLiveHosts(placing::LiveHosts aLiveHosts) override;
  bool MergeLoad(const placing::Reporter& aFrom,
                 const placing::HostLoad& aLoad,
                 const placing::LearnedLoad& aLearned,
                 base::Instant aNow) override;
  placing::LearnedLoad NewestLoad(std::size_t aZones,
                                  base::Instant aNow) const override;

  /// Handles timeouts. Must be called several times a second.
  void OnTick(base::Instant aNow);

  /// Whether the host has enough registry state to place flows.
  bool IsReady() const override
  {
    return m_cache.IsComplete() && m_reader.IsConfirmed();
  }

  /// Whether the host's zone has no usable server, so that new flows depend on
  /// servers of other zones. Precondition: IsReady.
  bool DependsOnOtherZones(base::Instant aNow) const;

  /// Decides anew whether the host can serve new flows. `aOtherZonesSilentFor`:
  /// how long no host of another zone has answered. Must be called several
  /// times a second.
  void UpdateServing(base::Duration aOtherZonesSilentFor, base::Instant aNow);

  /// Whether the fabric should send new flows to this host; see
  /// ServingDecision.
  bool CanServe() const { return m_serving.CanServe(); }

  /// Whether calls on the registry fail and it has not answered for longer than
  /// `aSpan`.
  bool IsRegistryUnreachable(base::Duration aSpan, base::Instant aNow) const;

  /// Sets TokenHostIdentity::m_zoneOutGrace while the host runs.
  void SetZoneOutGrace(base::Duration aGrace);

  /// Sets the live hosts of this host's zone, which share the quotas of its
  /// cold servers. Call it several times a second.
  void SetZoneHosts(const placing::HostPosition& aPosition, base::Instant aNow)
  {
    m_servers.SetZoneHosts(aPosition, aNow);
  }

  const ServerSelector& GetServers() const { return m_servers; }
  const Totals& GetTotals() const { return m_totals; }
  const registry::RegistryCache& GetCache() const { return m_cache; }
  std::size_t FlowCount() const { return m_flows.Size(); }
  const placing::LoadTable& GetSharedLoad() const { return m_sharedLoad; }
  const std::string& Zone() const { return m_identity.m_zone; }

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
  void LogRamps();
  /// Updates the shared load, if load reports are on.
  void UpdateSharedLoad(base::Instant aNow);

  TokenHostIdentity m_identity;
  const packet::TokenCodec& m_codec;
  TokenEffects& m_effects;
  Totals m_totals;
  RegistryEventLog m_log;
  registry::RegistryCache m_cache;
  registry::Reader m_reader;
  FlowTracker m_flows;
  placing::LoadTable m_sharedLoad;
  bool m_reportsLoad = false;
  bool m_knowsLoad = false;
  base::Instant m_slotsAt;
  ServerSelector m_servers;
  std::deque<Held> m_held;
  base::Instant m_sweptAt;
  base::Instant m_ranAt;
  base::Instant m_wokeAt;
  bool m_wasReady = false;
  ServingDecision m_serving;
};

} // namespace wasabiloom::token
