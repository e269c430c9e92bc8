#include "support/Problems.h"
#include "support/SampleBundle.h"
#include "support/Section.h"
#include "wasabiloom/bundle/SignedBundle.h"

namespace wasabiloom::tests {

using base::ResultCode;
using bundle::OpenBundle;

TEST(SignedBundles, AreOpenedOnlyWithATrustedKey)
{
  const auto original = SampleBundle(3, { SampleService("desk", 2) });
  const auto operatorKeys = bundle::NewKeyPair();
  const auto otherKeys = bundle::NewKeyPair();
  const std::string signedBundle = ValueOf([&] {
    return bundle::SignBundle(BundleText(original), operatorKeys.m_secret);
  });
  Section("the signer's public key opens it, alone or among others", [&] {
    EXPECT_EQ(ValueOf([&] {
                return OpenBundle(
                  signedBundle, { otherKeys.m_public, operatorKeys.m_public });
              }),
              original);
  });
  Section("no other key does", [&] {
    for (const auto& keys : { std::vector<bundle::PublicKey>{},
                              std::vector{ otherKeys.m_public } }) {
      EXPECT_EQ(
        ProblemOf([&] { return OpenBundle(signedBundle, keys); }).m_code,
        ResultCode::BundleBadSignature);
    }
  });
  Section("no changed byte and no truncation goes unnoticed", [&] {
    const std::vector trusted = { operatorKeys.m_public };
    for (std::size_t i = 0; i < signedBundle.size(); i += 7) {
      std::string damaged = signedBundle;
      damaged[i] = static_cast<char>(damaged[i] ^ 1);
      EXPECT_NE(ProblemOf([&] { return OpenBundle(damaged, trusted); }).m_code,
                ResultCode::Ok)
        << i;
      const auto cut = signedBundle.substr(0, i);
      EXPECT_NE(ProblemOf([&] { return OpenBundle(cut, trusted); }).m_code,
                ResultCode::Ok)
        << i;
    }
  });
  Section("a container over 1 MB is refused", [&] {
    const std::string large(bundle::kMaxBundleBytes + 1, 'x');
    EXPECT_EQ(ProblemOf([&] {
                return OpenBundle(large, { operatorKeys.m_public });
              }).m_code,
              ResultCode::BundleTooLarge);
  });
}

TEST(Keys, TravelAsBase64)
{
  const auto pair = bundle::NewKeyPair();
  EXPECT_EQ(ValueOf([&] {
              return bundle::ReadPublicKey(
                bundle::ToBase64(pair.m_public.m_bytes) + "\n");
            }),
            pair.m_public);
  for (const char* text : { "", "AAAA", "not base64!" }) {
    EXPECT_EQ(ProblemOf([&] { return bundle::ReadSecretKey(text); }).m_code,
              ResultCode::KeyInvalid);
  }
}

} // namespace wasabiloom::tests
