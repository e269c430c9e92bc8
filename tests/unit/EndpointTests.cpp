#include "support/Section.h"
#include "wasabiloom/base/Endpoint.h"

namespace wasabiloom::tests {

using base::Endpoint;
using base::ParseEndpoint;

TEST(Endpoints, AreReadAndWritten)
{
  Section("a well-formed text comes back unchanged", [] {
    const auto endpoint = ParseEndpoint("10.0.255.1:65535");
    ASSERT_TRUE(endpoint);
    EXPECT_EQ(ToString(*endpoint), "10.0.255.1:65535");
    EXPECT_EQ(base::UnpackEndpoint(base::Pack(*endpoint)), *endpoint);
  });
  Section("anything else is refused", [] {
    for (const char* text : { "",
                              "10.0.0.1",
                              "10.0.0.1:",
                              "10.0.0.1:0",
                              "10.0.0.1:65536",
                              "10.0.0:80",
                              "10.0.0.256:80",
                              "10.0.0.1.2:80",
                              "10.0.0.1:80x",
                              "a.b.c.d:80",
                              " 10.0.0.1:80" }) {
      EXPECT_FALSE(ParseEndpoint(text)) << text;
    }
  });
}

} // namespace wasabiloom::tests
