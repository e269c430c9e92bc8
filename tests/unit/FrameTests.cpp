#include "support/Problems.h"
#include "wasabiloom/base/Frame.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using base::Seal;
using base::Unseal;

TEST(Frame, BringsABodyAcross)
{
  EXPECT_EQ(ValueOf([] { return Unseal(1, Seal(1, "")); }), "");
  const std::string frame = Seal(1, "body");
  EXPECT_EQ(ValueOf([&] { return Unseal(1, frame); }), "body");
}

TEST(Frame, RefusesAnotherFormatAndParts)
{
  const std::string frame = Seal(1, "body");
  const auto malformed = base::ResultCode::PeerMessageMalformed;
  EXPECT_EQ(ProblemOf([&] { return Unseal(2, frame); }).m_code, malformed);
  for (std::size_t length = 0; length < frame.size(); ++length) {
    const std::string_view part = std::string_view(frame).substr(0, length);
    EXPECT_EQ(ProblemOf([&] { return Unseal(1, part); }).m_code, malformed)
      << length;
  }
}

} // namespace wasabiloom::tests
