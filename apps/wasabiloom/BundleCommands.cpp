#include "BundleDiff.h"
#include "Commands.h"
#include "Options.h"

#include "wasabiloom/base/Files.h"
#include "wasabiloom/bundle/SignedBundle.h"

#include <iostream>

namespace wasabiloom::cli {

namespace {

namespace options = boost::program_options;

using base::Result;

constexpr int kExitOk = 0;
constexpr int kExitDifferent = 3;

Result<bundle::Bundle>
LoadText(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, base::ReadFile(aPath));
  return bundle::ReadBundle(text);
}

} // namespace

Result<int>
KeysNew(const Words& aWords)
{
  options::options_description known("keys new");
  known.add_options()("out",
                      options::value<std::string>()->required(),
                      "prefix of the two files");
  BOOST_LEAF_AUTO(chosen, ParseOptions(aWords, known, { "out" }));
  const auto prefix = chosen["out"].as<std::string>();
  const bundle::KeyPair pair = bundle::NewKeyPair();
  const std::string publicText = bundle::ToBase64(pair.m_public.m_bytes);
  const std::string secretText = bundle::ToBase64(pair.m_secret.m_bytes);
  BOOST_LEAF_CHECK(base::WriteFile(prefix + ".secret", secretText + "\n"));
  BOOST_LEAF_CHECK(base::WriteFile(prefix + ".public", publicText + "\n"));
  std::cout << publicText << "\n";
  return kExitOk;
}

Result<int>
BundleCheck(const Words& aWords)
{
  options::options_description known("bundle check");
  known.add_options()(
    "file", options::value<std::string>()->required(), "JSON text of a bundle");
  BOOST_LEAF_AUTO(chosen, ParseOptions(aWords, known, { "file" }));
  BOOST_LEAF_AUTO(checked, LoadText(chosen["file"].as<std::string>()));
  std::size_t targets = 0;
  for (const bundle::Service& service : checked.m_services) {
    targets += service.m_targets.size();
  }
  std::cout << "version " << checked.m_version << ": " << checked.m_zones.size()
            << " zones, " << checked.m_services.size() << " services, "
            << targets << " backend servers\n";
  return kExitOk;
}

Result<int>
BundleSign(const Words& aWords)
{
  options::options_description known("bundle sign");
  known.add_options()(
    "file", options::value<std::string>()->required(), "JSON text of a bundle")(
    "key", options::value<std::string>()->required(), "secret key file")(
    "out", options::value<std::string>()->required(), "signed bundle to write");
  BOOST_LEAF_AUTO(chosen, ParseOptions(aWords, known, { "file" }));
  BOOST_LEAF_AUTO(text, base::ReadFile(chosen["file"].as<std::string>()));
  BOOST_LEAF_AUTO(keyText, base::ReadFile(chosen["key"].as<std::string>()));
  BOOST_LEAF_AUTO(key, bundle::ReadSecretKey(keyText));
  BOOST_LEAF_AUTO(signedBundle, bundle::SignBundle(text, key));
  BOOST_LEAF_CHECK(
    base::WriteFile(chosen["out"].as<std::string>(), signedBundle));
  return kExitOk;
}

Result<int>
BundleShow(const Words& aWords)
{
  options::options_description known("bundle show");
  known.add_options()(
    "file", options::value<std::string>()->required(), "signed bundle")(
    "key", options::value<std::string>()->required(), "public key file");
  BOOST_LEAF_AUTO(chosen, ParseOptions(aWords, known, { "file" }));
  BOOST_LEAF_AUTO(bytes, base::ReadFile(chosen["file"].as<std::string>()));
  BOOST_LEAF_AUTO(keyText, base::ReadFile(chosen["key"].as<std::string>()));
  BOOST_LEAF_AUTO(key, bundle::ReadPublicKey(keyText));
  BOOST_LEAF_CHECK(bundle::OpenBundle(bytes, { key }));
  BOOST_LEAF_AUTO(text, bundle::ExtractText(bytes));
  std::cout << text;
  return kExitOk;
}

Result<int>
BundleDiff(const Words& aWords)
{
  options::options_description known("bundle diff");
  known.add_options()(
    "old", options::value<std::string>()->required(), "JSON text in force")(
    "new", options::value<std::string>()->required(), "JSON text to come");
  BOOST_LEAF_AUTO(chosen, ParseOptions(aWords, known, { "old", "new" }));
  BOOST_LEAF_AUTO(before, LoadText(chosen["old"].as<std::string>()));
  BOOST_LEAF_AUTO(after, LoadText(chosen["new"].as<std::string>()));
  const auto lines = Differences(before, after);
  for (const std::string& line : lines) {
    std::cout << line << "\n";
  }
  return lines.empty() ? kExitOk : kExitDifferent;
}

} // namespace wasabiloom::cli
