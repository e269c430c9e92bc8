#include "support/Registry.h"
#include "support/Section.h"
#include "wasabiloom/token/ServingDecision.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using namespace std::chrono_literals;
using token::ServingDecision;
using token::ServingEvidence;

namespace {

/// A host whose zone has no usable server, at `aSeconds`; other zones answer.
ServingEvidence
WithoutLocalServer(double aSeconds)
{
  ServingEvidence evidence;
  evidence.m_hasLocalServer = false;
  evidence.m_otherZonesSilentFor = 50ms;
  evidence.m_otherZoneRespondedAt = At(aSeconds - 0.1);
  evidence.m_registryCurrentAt = At(aSeconds - 1);
  return evidence;
}

/// The same behind a partition that began at 0.
ServingEvidence
CutOff(double aSeconds)
{
  ServingEvidence evidence;
  evidence.m_hasLocalServer = false;
  evidence.m_otherZonesSilentFor =
    std::chrono::duration_cast<base::Duration>(At(aSeconds) - At(0));
  evidence.m_otherZoneRespondedAt = At(0);
  evidence.m_registryCurrentAt = At(-0.5);
  return evidence;
}

} // namespace

TEST(ServingDecision, ServesWhileAnyServerCanBeReached)
{
  ServingDecision decision;
  EXPECT_TRUE(decision.Update({}, At(0)));
  EXPECT_TRUE(decision.Update(WithoutLocalServer(1), At(1)));

  Section("a zone that is cut off serves with its own servers", [&] {
    ServingEvidence evidence = CutOff(10);
    evidence.m_hasLocalServer = true;
    EXPECT_TRUE(decision.Update(evidence, At(10)));
  });
  Section("servers of other zones that respond count, although no host there "
          "answers",
          [&] {
            ServingEvidence evidence = CutOff(10);
            evidence.m_otherZoneRespondedAt = At(9.8);
            EXPECT_TRUE(decision.Update(evidence, At(10)));
          });
  Section("while the registry answers, the hosts of other zones have failed "
          "and cannot serve either",
          [&] {
            ServingEvidence evidence = CutOff(10);
            evidence.m_registryCurrentAt = At(9);
            EXPECT_TRUE(decision.Update(evidence, At(10)));
          });
}

TEST(ServingDecision, StopsWithoutLocalServersBehindAPartition)
{
  ServingDecision decision;
  Section("a short silence is no partition",
          [&] { EXPECT_TRUE(decision.Update(CutOff(0.45), At(0.45))); });
  Section("the host stops after half a second", [&] {
    EXPECT_FALSE(decision.Update(CutOff(0.5), At(0.5)));
    EXPECT_FALSE(decision.CanServe());
  });
  Section("a response to a packet that another host forwarded does not make it "
          "serve again",
          [&] {
            ServingEvidence evidence = CutOff(1.5);
            evidence.m_otherZoneRespondedAt = At(1.4);
            EXPECT_FALSE(decision.Update(evidence, At(1.5)));
          });
  Section("it serves again at once when another zone answers",
          [&] { EXPECT_TRUE(decision.Update(WithoutLocalServer(5), At(5))); });
  Section("it serves again at once when a local server can be used", [&] {
    EXPECT_FALSE(decision.Update(CutOff(6), At(6)));
    ServingEvidence evidence = CutOff(6.1);
    evidence.m_hasLocalServer = true;
    EXPECT_TRUE(decision.Update(evidence, At(6.1)));
  });
}

} // namespace wasabiloom::tests
