/// Tracks which entry hosts are alive, at a constant cost per host: each host
/// probes one other member at a time, and statements on members are piggybacked
/// on the probes (SWIM).
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

/// Interval at which a host probes one member.
constexpr base::Duration kProbeInterval = std::chrono::milliseconds(500);

/// One in this many probes goes to another zone; the others stay in the zone,
/// because traffic between zones is charged for.
constexpr std::uint32_t kProbesAFarOne = 4;

/// Time without an answer after which other members are asked to probe the
/// target.
constexpr base::Duration kDirectTimeout = std::chrono::milliseconds(200);

/// Number of members that are asked to probe an unresponsive target.
constexpr std::size_t kHelpers = 2;

/// A suspected member that does not refute within this time is gone. The time
/// grows with the binary logarithm of the number of members where that exceeds
/// kSuspicionDoublings, as a refutation takes longer to spread.
constexpr base::Duration kSuspicionTime = std::chrono::milliseconds(2000);
constexpr int kSuspicionDoublings = 7;

/// Gone members are remembered for this time, so that late statements do not
/// bring them back.
constexpr base::Duration kTombstoneLife = std::chrono::seconds(60);

/// Interval between probes of seeds and gone members, which may have restarted
/// or may be behind a partition that has healed.
constexpr base::Duration kReviveInterval = std::chrono::milliseconds(2500);

/// Interval between probes of the seeds while no other member is known.
constexpr base::Duration kJoinInterval = std::chrono::milliseconds(250);

/// Number of members that one MemberList carries.
constexpr std::size_t kMembersARoll = 30;

/// A longer interval between two ticks means that this process was paused.
/// Answers that it missed meanwhile are not held against other members.
constexpr base::Duration kTickGap = std::chrono::milliseconds(400);

/// When unanswered probes exceed answered ones by more than this, this host
/// assumes that it is itself cut off or slow, and suspects no member.
constexpr int kMaxMisses = 3;

/// Sends the messages of the membership and reports its changes.
class MembershipOutbox
{
public:
  virtual ~MembershipOutbox();

  /// Sends `aMessage` to the host at `aTo`.
  virtual void SendTo(base::Ipv4Address aTo, const Message& aMessage) = 0;

  /// Called when this host's view of a member has changed.
  virtual void OnMemberState(const Member& aMember) = 0;
};

/// This host's view of all members. Deterministic: equal inputs give equal
/// outputs. Not thread safe.
class SwimMembership final
{
public:
  /// `aSelf` should have a higher incarnation than this host's previous
  /// process; if it has not, the host raises it when it refutes. `aOutbox` must
  /// outlive this object.
  SwimMembership(Member aSelf, std::uint64_t aSeed, MembershipOutbox& aOutbox);
  ~SwimMembership();
  SwimMembership(const SwimMembership&) = delete;
  SwimMembership& operator=(const SwimMembership&) = delete;

  /// Sets the hosts to contact first. Some may be down, and some addresses may
  /// belong to no host.
  void SetSeeds(std::vector<base::Ipv4Address> aSeeds);

  /// Applies the statements in a message, and answers probes.
  void OnMessage(const Message& aMessage, base::Instant aNow);

  /// Sends probes that are due and expires members. Call it several times per
  /// kDirectTimeout.
  void Tick(base::Instant aNow);

  /// Announces the departure of this host to some members, which tell the
  /// others.
  void Leave();

  /// Returns a message of this host with `aContent` and the next statements to
  /// piggyback.
  Message Compose(Content aContent);

  /// Rank of this host, from 0, among the members of its zone or of all zones
  /// that are not gone. Members rank by capacity, highest first, in an order on
  /// which all hosts that know the same members agree.
  std::size_t RankInZone() const { return m_index.RankInZone(); }
  std::size_t RankInFleet() const { return m_index.RankInFleet(); }

  /// Number of other zones with a member that ranks before the first one of
  /// this host's zone.
  std::size_t ZonesBefore() const { return m_index.ZonesBefore(); }

  /// Members that are not gone, without this host, by zone. Valid until the
  /// next call of OnMessage or Tick.
  const LiveMemberIndex::Zones& LiveByZone() const { return m_index.ByZone(); }

  /// Number of members that are not gone, including this host.
  std::size_t LiveCount() const { return m_index.All().size() + 1; }

  /// This host's view of the member at `aAddress`; empty when it is unknown or
  /// is this host.
  std::optional<Member> Find(base::Ipv4Address aAddress) const;

  /// Sends one probe to `aTo`, in addition to those that Tick sends. Its answer
  /// has no effect on the view of the member.
  void ProbeOnce(base::Ipv4Address aTo) { SendProbe(aTo, false); }

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

  /// Applies a statement. `aRidesOfArrival`: how often it is sent on when the
  /// member was unknown before.
  void Learn(const Member& aMember,
             std::size_t aRidesOfArrival,
             base::Instant aNow);
  /// Refutes a statement that this host is suspected or gone, or that has a
  /// higher incarnation than its own.
  void LearnOfSelf(const Member& aMember);
  void OnContent(const Message& aMessage, base::Instant aNow);
  /// Sends a message that tells the receiver if it is suspected or gone here,
  /// so that it can refute.
  void SendAccusing(base::Ipv4Address aTo, Content aContent);
  /// Sends all statements on members that are not gone.
  void TellAll(base::Ipv4Address aTo);
  void OnAnswer(std::uint32_t aSequence);
  /// Probes a target on behalf of another member.
  void Help(const Message& aMessage, base::Instant aNow);
  void FinishProbe(base::Instant aNow);
  void BeginProbe(base::Instant aNow);
  /// Asks other members to probe the target that has not answered.
  void AskHelpers();
  void CallSeeds(base::Instant aNow);
  /// Probes a seed or gone member, which may be alive again.
  void Revive(base::Instant aNow);
  void Expire(base::Instant aNow);
  /// Rebuilds the index if members have changed since the last time.
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
