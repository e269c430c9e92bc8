#include "support/Section.h"
#include "wasabiloom/peer/Membership.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using peer::Heartbeat;
using peer::HostPhase;
using peer::Membership;

namespace {

/// Discards all messages.
class NoOutbox final : public peer::Outbox
{
public:
  void Send(base::HostId /*aTo*/, const peer::Message& /*aMessage*/) override {}
  peer::SendBudget& Budget() override { return m_budget; }

private:
  peer::SendBudget m_budget;
};

constexpr std::uint64_t kGroups = 100;

/// A ready host h1 with the ready peer h2.
class MembershipTest : public testing::Test
{
protected:
  MembershipTest()
  {
    m_membership.SetPeers({ { "h1", "a", {}, {} }, { "h2", "a", {}, {} } },
                          Now(0));
    m_membership.SetPhase(HostPhase::Ready, {}, Now(0));
    Beat(1, HostPhase::Ready, 0, 0);
  }

  static base::Instant Now(int aSeconds)
  {
    return base::Instant(std::chrono::seconds(100 + aSeconds));
  }

  /// Receives a heartbeat of the process `aIncarnation` of h2.
  void Beat(std::uint64_t aIncarnation,
            HostPhase aPhase,
            std::uint64_t aRejoins,
            int aSeconds)
  {
    Heartbeat heartbeat;
    heartbeat.m_phase = aPhase;
    heartbeat.m_rejoins = aRejoins;
    m_membership.Hear(m_peer, aIncarnation, Now(aSeconds));
    m_membership.OnHeartbeat(m_peer, heartbeat);
    m_membership.Tick({}, Now(aSeconds));
  }

  /// Number of groups that h2 owns, and of those that it owned before the
  /// owners last changed.
  std::pair<int, int> GroupsOfPeer(int aSeconds) const
  {
    std::pair<int, int> counts;
    for (std::uint64_t group = 0; group < kGroups; ++group) {
      counts.first += m_membership.OwnerOf(group, 0) == m_peer ? 1 : 0;
      counts.second +=
        m_membership.PreviousOwnerOf(group, Now(aSeconds)) == m_peer ? 1 : 0;
    }
    return counts;
  }

  NoOutbox m_outbox;
  base::HostId m_peer = base::MakeHostId("h2");
  Membership m_membership{ base::MakeHostId("h1"), 1, m_outbox };
};

} // namespace

TEST_F(MembershipTest, IgnoresAHeartbeatThatWasOvertaken)
{
  const int owned = GroupsOfPeer(0).first;
  ASSERT_GT(owned, 0);
  Beat(1, HostPhase::Joining, 0, 1);
  EXPECT_EQ(GroupsOfPeer(1).first, owned);
  EXPECT_FALSE(m_membership.IsJoining(m_peer));

  Section("a host that joins again after a pause is joining", [&] {
    Beat(1, HostPhase::Joining, 1, 2);
    EXPECT_EQ(GroupsOfPeer(2).first, 0);
    EXPECT_TRUE(m_membership.IsJoining(m_peer));
  });
}

TEST_F(MembershipTest, NamesNoPreviousOwnerWhoseProcessHasStartedSince)
{
  Beat(1, HostPhase::Leaving, 0, 1);
  EXPECT_EQ(GroupsOfPeer(1).first, 0);
  EXPECT_GT(GroupsOfPeer(1).second, 0) << "it may still have records";
  Beat(2, HostPhase::Joining, 0, 2);
  EXPECT_EQ(GroupsOfPeer(2), std::pair(0, 0));
}

} // namespace wasabiloom::tests
