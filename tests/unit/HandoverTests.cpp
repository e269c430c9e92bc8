#include "support/Section.h"
#include "wasabiloom/request/Handover.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using request::DecideRequestAction;
using request::RequestAction;
using request::RequestOwnership;

TEST(Handover, FollowsTheHomeInCalmTimes)
{
  RequestOwnership here;
  EXPECT_EQ(DecideRequestAction(here), RequestAction::RelayToOwner);
  here.m_isRelayed = true;
  EXPECT_EQ(DecideRequestAction(here), RequestAction::Serve)
    << "another host sees this one as the home";
  here.m_isOwner = true;
  EXPECT_EQ(DecideRequestAction(here), RequestAction::Serve);
}

TEST(Handover, ServesWhatItKnowsWhoeverIsHome)
{
  RequestOwnership here;
  here.m_hasRecord = true;
  for (const bool leaving : { false, true }) {
    here.m_isLeaving = leaving;
    EXPECT_EQ(DecideRequestAction(here), RequestAction::Serve);
  }
}

TEST(Handover, RunsARequestAtOneOfTwoHomes)
{
  RequestOwnership heir;
  heir.m_isOwner = true;
  heir.m_hasPreviousOwner = true;
  RequestOwnership predecessor;
  predecessor.m_wasOwner = true;

  Section("the new home asks the one before", [&] {
    EXPECT_EQ(DecideRequestAction(heir), RequestAction::RelayToPreviousOwner);
  });
  Section("which passes back what it does not know, however it came", [&] {
    for (const bool relayed : { false, true }) {
      predecessor.m_isRelayed = relayed;
      EXPECT_EQ(DecideRequestAction(predecessor), RequestAction::RelayToOwner);
    }
  });
  Section("and only then does the new home serve it", [&] {
    heir.m_isRelayed = true;
    EXPECT_EQ(DecideRequestAction(heir), RequestAction::RelayToPreviousOwner)
      << "from a third host";
    heir.m_isFromPreviousOwner = true;
    EXPECT_EQ(DecideRequestAction(heir), RequestAction::Serve);
  });
  Section("a leaving host passes on all that it does not know", [&] {
    RequestOwnership leaver;
    leaver.m_isLeaving = true;
    leaver.m_isRelayed = true;
    EXPECT_EQ(DecideRequestAction(leaver), RequestAction::RelayToOwner);
  });
  Section("what may be repeated takes no detour", [&] {
    heir = {};
    heir.m_isOwner = true;
    heir.m_hasPreviousOwner = true;
    heir.m_isRepeatable = true;
    EXPECT_EQ(DecideRequestAction(heir), RequestAction::Serve);
  });
}

} // namespace wasabiloom::tests
