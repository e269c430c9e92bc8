#include "support/Section.h"
#include "wasabiloom/registry/KnownHistory.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using registry::KnownHistory;

TEST(KnownHistory, NeverIncludesWhatWasMissed)
{
  KnownHistory known;
  Section("nothing is known at first", [&] {
    EXPECT_FALSE(known.Includes(0));
    EXPECT_FALSE(known.CanAppend({ 0, 5 }));
    EXPECT_FALSE(known.ReachesBackTo(7));
  });
  Section("a complete state is the start of what is known", [&] {
    known.AddState(10);
    EXPECT_TRUE(known.Includes(10));
    EXPECT_TRUE(known.ReachesBackTo(10));
    EXPECT_FALSE(known.ReachesBackTo(9));
  });
  Section("changes that follow extend it", [&] {
    EXPECT_TRUE(known.CanAppend({ 8, 14 }));
    known.Append({ 8, 14 });
    EXPECT_EQ(known.End(), 14U);
    EXPECT_TRUE(known.ReachesBackTo(10));
    EXPECT_FALSE(known.CanAppend({ 15, 16 }));
  });
  Section("a state that is known already changes nothing", [&] {
    known.AddState(12);
    EXPECT_EQ(known.End(), 14U);
    EXPECT_TRUE(known.ReachesBackTo(10));
  });
  Section("a later state leaves the changes before it unknown", [&] {
    known.AddState(20);
    EXPECT_FALSE(known.ReachesBackTo(14));
    EXPECT_TRUE(known.ReachesBackTo(20));
  });
  Section("changes that are dropped can't be sent any more", [&] {
    known.Append({ 20, 30 });
    known.Forget(25);
    EXPECT_FALSE(known.ReachesBackTo(24));
    EXPECT_TRUE(known.ReachesBackTo(25));
  });
}

} // namespace wasabiloom::tests
