/// Which entry hosts live, at a constant cost a host: each probes one other in
/// turn, and statements on members ride on the probes (SWIM).
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/fleet/LiveMemberIndex.h"
#include "wasabiloom/fleet/Message.h"
#include "wasabiloom/fleet/ProbeOrder.h"
#include "wasabiloom/fleet/UpdateQueue.h"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace wasabiloom::fleet {

/// One member is probed in each interval.
constexpr base::Duration kProbeInterval = std::chrono::milliseconds(500);

/// Every so many probes one goes to another zone; bytes between zones cost.
constexpr std::uint32_t kProbesAFarOne = 4;

/// After so long without an answer others are asked to probe.
constexpr base::Duration kDirectTimeout = std::chrono::milliseconds(200);

/// Members that are asked to probe.
constexpr std::size_t kHelpers = 2;

/// A suspect that does not refute for so long is gone; longer in fleets of
/// more than kSuspicionDoublings doublings, as a refutation travels longer.
constexpr base::Duration kSuspicionTime = std::chrono::milliseconds(2000);
constexpr int kSuspicionDoublings = 7;

/// A gone member is remembered for so long, against late statements.
constexpr base::Duration kTombstoneLife = std::chrono::seconds(60);

/// Between two calls to seeds or gone members, which may be back or behind a
/// partition that has healed.
constexpr base::Duration kReviveInterval = std::chrono::milliseconds(2500);

/// While no other member is known, seeds are called so often.
constexpr base::Duration kJoinInterval = std::chrono::milliseconds(250);

/// Members that one Roll carries.
constexpr std::size_t kMembersARoll = 30;

/// An interval between two ticks above this means that this process stood
/// still: what it missed is nobody's fault.
constexpr base::Duration kTickGap = std::chrono::milliseconds(400);

/// Probes without answer, less those with one, above which this host takes
/// itself for the one that is cut off or slow, and accuses nobody.
constexpr int kMaxMisses = 3;

/// Where a roster sends.
class MembershipOutbox
{
public:
  virtual ~MembershipOutbox();

  /// Sends `aMessage` to the host at `aTo`.
  virtual void SendTo(base::Ipv4Address aTo, const Message& aMessage) = 0;

  /// Tells that this host's opinion of a member changed.
  virtual void OnMemberState(const Member& aMember) = 0;
};

/// This host's opinion of all members. Equal inputs give equal outputs. One
/// thread at a time.
class SwimMembership final
{
public:
  /// `aSelf` starts with an incarnation above that of the last process, as a
  /// rule; where not, it refutes. `aOutbox` must outlive the roster.
  SwimMembership(Member aSelf, std::uint64_t aSeed, MembershipOutbox& aOutbox);
  ~SwimMembership();
  SwimMembership(const SwimMembership&) = delete;
  SwimMembership& operator=(const SwimMembership&) = delete;

  /// Hosts to call first; some may be down, or no hosts at all.
  void SetSeeds(std::vector<base::Ipv4Address> aSeeds);

  /// Takes in what a message says of members, and answers probes.
  void OnMessage(const Message& aMessage, base::Instant aNow);

  /// Time passed. To be called several times in each kDirectTimeout.
  void Tick(base::Instant aNow);

  /// Says farewell to some members, who tell the others.
  void Leave();

  /// A message of this host with the statements that ride on it.
  Message Compose(Content aContent);

  /// Place of this host among the members that are not gone, of its zone or
  /// of all zones, in an order on which all hosts that know the same members
  /// agree: the most capable first.
  std::size_t RankInZone() const { return m_index.RankInZone(); }
  std::size_t RankInFleet() const { return m_index.RankInFleet(); }

  /// Other zones with a member before this host's zone's first.
  std::size_t ZonesBefore() const { return m_index.ZonesBefore(); }

  /// Members that are not gone, without this host, by zone. Valid until the
  /// next message or tick.
  const LiveMemberIndex::Zones& LiveByZone() const { return m_index.ByZone(); }

  /// Members that are not gone, with this host.
  std::size_t LiveCount() const { return m_index.All().size() + 1; }

  /// The opinion of `aAddress`; empty when it is unknown or this host.
  std::optional<Member> Find(base::Ipv4Address aAddress) const;

  const Member& Self() const { return m_self; }

private:
  struct Entry
  {
    Member m_member;
    base::Instant m_since;
  };

  struct OwnProbe
  {
    base::Ipv4Address m_target;
    std::uint32_t m_sequence = 0;
    base::Instant m_sentAt;
    bool m_helped = false;
  };

  struct ForeignProbe
  {
    base::Ipv4Address m_asker;
    std::uint32_t m_askersSequence = 0;
    base::Instant m_at;
  };

  /// Takes in a statement. `aRidesOfArrival`: how often it is passed on when
  /// the member was not known before.
  void Learn(const Member& aMember,
             std::size_t aRidesOfArrival,
             base::Instant aNow);
  void LearnOfSelf(const Member& aMember);
  void OnContent(const Message& aMessage, base::Instant aNow);
  /// Sends a message that tells its receiver what it is accused of, so that
  /// it can refute.
  void SendAccusing(base::Ipv4Address aTo, Content aContent);
  void TellAll(base::Ipv4Address aTo);
  void OnAnswer(std::uint32_t aSequence);
  void Help(const Message& aMessage, base::Instant aNow);
  void FinishProbe(base::Instant aNow);
  void BeginProbe(base::Instant aNow);
  void AskHelpers();
  void CallSeeds(base::Instant aNow);
  void Revive(base::Instant aNow);
  void Expire(base::Instant aNow);
  /// Brings the index up to what was learned since.
  void Reindex();
  std::uint32_t SendProbe(base::Ipv4Address aTo, bool aWantsAll);
  base::Ipv4Address NextTarget();
  std::size_t Draw(std::size_t aCount);

  Member m_self;
  MembershipOutbox& m_outbox;
  std::mt19937_64 m_random;
  std::vector<base::Ipv4Address> m_seeds;
  std::map<base::Ipv4Address, Entry> m_entries;
  LiveMemberIndex m_index;
  bool m_changed = false;
  ProbeOrder m_nearRound;
  ProbeOrder m_farRound;
  std::uint32_t m_probes = 0;
  UpdateQueue m_updates;
  std::optional<OwnProbe> m_probe;
  std::map<std::uint32_t, ForeignProbe> m_foreign;
  std::uint32_t m_sequence = 0;
  int m_misses = 0;
  bool m_leaving = false;
  base::Instant m_tickedAt;
  base::Instant m_expiredAt;
  base::Instant m_probedAt;
  base::Instant m_calledAt;
  base::Instant m_revivedAt;
  base::Instant m_wholeAt;
  base::Duration m_wholePause{ 0 };
};

} // namespace wasabiloom::fleet
