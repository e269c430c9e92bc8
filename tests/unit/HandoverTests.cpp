#include "support/Section.h"
#include "wasabiloom/request/Handover.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using request::DecideRequestAction;
using request::RequestAction;
using request::RequestOwnership;

TEST(Handover, RelaysToTheOwnerAndServesRelayedRequestsWithoutOwnerChange)
{
  RequestOwnership here;
  EXPECT_EQ(DecideRequestAction(here), RequestAction::RelayToOwner);
  here.m_isRelayed = true;
  EXPECT_EQ(DecideRequestAction(here), RequestAction::Serve)
    << "the relaying host considers this host the owner";
  here.m_isOwner = true;
  EXPECT_EQ(DecideRequestAction(here), RequestAction::Serve);
}

TEST(Handover, ServesARequestWithARecordWhoeverOwnsIt)
{
  RequestOwnership here;
  here.m_hasRecord = true;
  for (const bool leaving : { false, true }) {
    here.m_isLeaving = leaving;
    EXPECT_EQ(DecideRequestAction(here), RequestAction::Serve);
  }
}

TEST(Handover, ServesANewRequestOnlyAtOneOfTwoOwners)
{
  RequestOwnership heir;
  heir.m_isOwner = true;
  heir.m_hasPreviousOwner = true;
  RequestOwnership predecessor;
  predecessor.m_wasOwner = true;

  Section("the new owner relays the request to the previous owner", [&] {
    EXPECT_EQ(DecideRequestAction(heir), RequestAction::RelayToPreviousOwner);
  });
  Section(
    "the previous owner relays back a request without a record, whether it "
    "came from the caller or from a host",
    [&] {
      for (const bool relayed : { false, true }) {
        predecessor.m_isRelayed = relayed;
        EXPECT_EQ(DecideRequestAction(predecessor),
                  RequestAction::RelayToOwner);
      }
    });
  Section(
    "the new owner serves the request only when the previous owner relayed "
    "it",
    [&] {
      heir.m_isRelayed = true;
      EXPECT_EQ(DecideRequestAction(heir), RequestAction::RelayToPreviousOwner)
        << "the request came from a third host";
      heir.m_isFromPreviousOwner = true;
      EXPECT_EQ(DecideRequestAction(heir), RequestAction::Serve);
    });
  Section("a leaving host relays every request without a record", [&] {
    RequestOwnership leaver;
    leaver.m_isLeaving = true;
    leaver.m_isRelayed = true;
    EXPECT_EQ(DecideRequestAction(leaver), RequestAction::RelayToOwner);
  });
  Section(
    "the new owner serves a repeatable request without asking the previous "
    "owner",
    [&] {
      heir = {};
      heir.m_isOwner = true;
      heir.m_hasPreviousOwner = true;
      heir.m_isRepeatable = true;
      EXPECT_EQ(DecideRequestAction(heir), RequestAction::Serve);
    });
}

} // namespace wasabiloom::tests
