#include "support/Problems.h"
#include "support/SampleBundle.h"
#include "support/Section.h"
#include "wasabiloom/bundle/BundleReader.h"

#include <gmock/gmock.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wasabiloom::tests {

using base::ResultCode;
using bundle::ReadBundle;
using testing::HasSubstr;

namespace {

struct BadText
{
  const char* m_text;
  ResultCode m_code;
  const char* m_detail;
};

} // namespace

TEST(Bundles, AreReadWhole)
{
  const auto original =
    SampleBundle(7, { SampleService("desk", 3), SampleService("vault", 2, 2) });
  EXPECT_EQ(ValueOf([&] { return ReadBundle(BundleText(original)); }),
            original);
}

TEST(Bundles, AreRefusedWithKeyLineAndExpectation)
{
  const char* const kHead = R"({"version":1,"zones":[{"name":"a"}],
"services":[{"name":"s","address":"10.0.0.1:80",
"targets":[{"name":"t","zone":"a","address":"10.0.0.2:80")";
  const std::string head = kHead;
  const std::vector<std::pair<std::string, BadText>> cases = {
    { "{\n\"version\" 1}", { "", ResultCode::JsonSyntax, "line 2" } },
    { "{\n\"version\":1,\n\"version\":2}",
      { "", ResultCode::JsonClash, "line 3: key \"version\"" } },
    { "[]", { "", ResultCode::JsonWrongType, "expected object" } },
    { "{\"version\":0,\"zones\":[],\"services\":[]}",
      { "", ResultCode::JsonOutOfRange, "version: expected 1 to" } },
    { "{\"version\":\"1\",\"zones\":[],\"services\":[]}",
      { "", ResultCode::JsonWrongType, "expected integer, found string" } },
    { "{\"version\":1,\"zones\":[]}",
      { "", ResultCode::JsonMissingKey, "expected key \"services\"" } },
    { "{\"version\":1,\"zones\":[],\"services\":[],\n\"extra\":1}",
      { "", ResultCode::JsonUnknownKey, "line 2: extra: unknown key" } },
    { head + ",\"weight\":1001}]}]}",
      { "",
        ResultCode::JsonOutOfRange,
        "line 3: services[0].targets[0].weight" } },
    { head + ",\"state\":\"gone\"}]}]}",
      { "", ResultCode::JsonOutOfRange, "\"active\", \"draining\"" } },
    { head +
        "},\n{\"name\":\"t\",\"zone\":\"a\",\"address\":\"10.0.0.3:80\"}]}]}",
      { "", ResultCode::JsonClash, "line 4: services[0].targets[1]" } },
    { head +
        "},\n{\"name\":\"u\",\"zone\":\"a\",\"address\":\"10.0.0.2:80\"}]}]}",
      { "", ResultCode::JsonClash, "10.0.0.2:80 is already taken on line 3" } },
    { head +
        "},\n{\"name\":\"u\",\"zone\":\"b\",\"address\":\"10.0.0.3:80\"}]}]}",
      { "", ResultCode::JsonOutOfRange, "zone \"b\" is not listed" } },
  };
  for (const auto& [text, expected] : cases) {
    Section(text, [&, &wanted = expected, &input = text] {
      const auto problem = ProblemOf([&] { return ReadBundle(input); });
      EXPECT_EQ(problem.m_code, wanted.m_code);
      EXPECT_THAT(problem.m_detail, HasSubstr(wanted.m_detail));
    });
  }
  Section("a text over 1 MB is refused before it is parsed", [] {
    const std::string large(bundle::kMaxBundleBytes + 1, ' ');
    EXPECT_EQ(ProblemOf([&] { return ReadBundle(large); }).m_code,
              ResultCode::BundleTooLarge);
  });
}

RC_GTEST_PROP(Bundles, SurviveAnyDamageToTheirText, ())
{
  std::string text = BundleText(SampleBundle(1, { SampleService("desk", 2) }));
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  text[at] = *rc::gen::arbitrary<char>();
  text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
  static_cast<void>(ProblemOf([&] { return ReadBundle(text); }));
}

} // namespace wasabiloom::tests
