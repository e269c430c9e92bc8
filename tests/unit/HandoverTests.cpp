#include "support/Section.h"
#include "wasabiloom/request/Handover.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using request::DecideHome;
using request::HomeAction;
using request::HomeSituation;

TEST(Handover, FollowsTheHomeInCalmTimes)
{
  HomeSituation here;
  EXPECT_EQ(DecideHome(here), HomeAction::RelayToHome);
  here.m_isRelayed = true;
  EXPECT_EQ(DecideHome(here), HomeAction::Serve)
    << "another host sees this one as the home";
  here.m_isHome = true;
  EXPECT_EQ(DecideHome(here), HomeAction::Serve);
}

TEST(Handover, ServesWhatItKnowsWhoeverIsHome)
{
  HomeSituation here;
  here.m_isKnown = true;
  for (const bool leaving : { false, true }) {
    here.m_isLeaving = leaving;
    EXPECT_EQ(DecideHome(here), HomeAction::Serve);
  }
}

TEST(Handover, RunsARequestAtOneOfTwoHomes)
{
  HomeSituation heir;
  heir.m_isHome = true;
  heir.m_hasPredecessor = true;
  HomeSituation predecessor;
  predecessor.m_wasHome = true;

  Section("the new home asks the one before",
          [&] { EXPECT_EQ(DecideHome(heir), HomeAction::RelayToPredecessor); });
  Section("which passes back what it does not know, however it came", [&] {
    for (const bool relayed : { false, true }) {
      predecessor.m_isRelayed = relayed;
      EXPECT_EQ(DecideHome(predecessor), HomeAction::RelayToHome);
    }
  });
  Section("and only then does the new home serve it", [&] {
    heir.m_isRelayed = true;
    EXPECT_EQ(DecideHome(heir), HomeAction::RelayToPredecessor)
      << "from a third host";
    heir.m_fromPredecessor = true;
    EXPECT_EQ(DecideHome(heir), HomeAction::Serve);
  });
  Section("a leaving host passes on all that it does not know", [&] {
    HomeSituation leaver;
    leaver.m_isLeaving = true;
    leaver.m_isRelayed = true;
    EXPECT_EQ(DecideHome(leaver), HomeAction::RelayToHome);
  });
  Section("what may be repeated takes no detour", [&] {
    heir = {};
    heir.m_isHome = true;
    heir.m_hasPredecessor = true;
    heir.m_isRepeatable = true;
    EXPECT_EQ(DecideHome(heir), HomeAction::Serve);
  });
}

} // namespace wasabiloom::tests
