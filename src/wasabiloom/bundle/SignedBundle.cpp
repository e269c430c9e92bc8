#include "wasabiloom/bundle/SignedBundle.h"

#include "generated/bundle.pb.h"

#include <algorithm>

namespace wasabiloom::bundle {

namespace {

using base::ResultCode;

base::Result<wire::SignedBundle>
ParseContainer(std::string_view aSigned)
{
  if (aSigned.size() > kMaxBundleBytes) {
    return base::Fail(ResultCode::BundleTooLarge,
                      std::to_string(aSigned.size()) +
                        " bytes, expected at most " +
                        std::to_string(kMaxBundleBytes));
  }
  wire::SignedBundle container;
  const auto size = static_cast<int>(aSigned.size());
  if (!container.ParseFromArray(aSigned.data(), size) ||
      container.text().empty()) {
    return base::Fail(ResultCode::BundleMalformed,
                      "expected a signed bundle, as `bundle sign` writes it");
  }
  return container;
}

} // namespace

base::Result<std::string>
SignBundle(std::string_view aText, const SecretKey& aKey)
{
  BOOST_LEAF_CHECK(ReadBundle(aText));
  wire::SignedBundle container;
  container.set_text(std::string(aText));
  container.set_signature(SignBytes(aText, aKey));
  std::string bytes = container.SerializeAsString();
  if (bytes.size() > kMaxBundleBytes) {
    return base::Fail(ResultCode::BundleTooLarge,
                      std::to_string(bytes.size()) +
                        " bytes once signed, expected at most " +
                        std::to_string(kMaxBundleBytes));
  }
  return bytes;
}

base::Result<std::string>
ExtractText(std::string_view aSigned)
{
  BOOST_LEAF_AUTO(container, ParseContainer(aSigned));
  return container.text();
}

base::Result<Bundle>
OpenBundle(std::string_view aSigned, const std::vector<PublicKey>& aTrusted)
{
  BOOST_LEAF_AUTO(container, ParseContainer(aSigned));
  const bool trusted = std::ranges::any_of(aTrusted, [&](const auto& aKey) {
    return VerifyBytes(container.text(), container.signature(), aKey);
  });
  if (!trusted) {
    return base::Fail(ResultCode::BundleBadSignature,
                      "expected a signature by one of " +
                        std::to_string(aTrusted.size()) + " trusted keys");
  }
  return ReadBundle(container.text());
}

} // namespace wasabiloom::bundle
