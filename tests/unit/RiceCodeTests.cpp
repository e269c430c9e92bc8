#include "support/Section.h"
#include "wasabiloom/wire/RiceCode.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace wasabiloom::tests {

using wire::RiceCoded;
using wire::RiceDecode;
using wire::RiceEncode;

RC_GTEST_PROP(RiceCode, KeepsEveryAscendingSet, ())
{
  auto values = *rc::gen::container<std::vector<std::uint64_t>>(
    rc::gen::inRange<std::uint64_t>(0, std::uint64_t{ 1 } << 41));
  std::ranges::sort(values);
  const auto decoded = RiceDecode(RiceEncode(values));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(*decoded == values);
}

RC_GTEST_PROP(RiceCode, RefusesForeignBytesWithoutHarm, ())
{
  RiceCoded coded;
  coded.m_lowBits = *rc::gen::inRange<std::uint32_t>(0, 70);
  coded.m_count = *rc::gen::inRange<std::uint32_t>(0, 2000);
  coded.m_bytes = *rc::gen::string<std::string>();
  const auto decoded = RiceDecode(coded);
  if (decoded) {
    RC_ASSERT(decoded->size() == coded.m_count);
    RC_ASSERT(std::ranges::is_sorted(*decoded));
  }
}

TEST(RiceCode, DoesNotTrustACountItsBytesCannotHold)
{
  EXPECT_FALSE(RiceDecode({ 3, 0xffffffff, "abc" }).has_value());
}

} // namespace wasabiloom::tests
