/// A bundle with the operator's signature, as it travels.
#pragma once

#include "wasabiloom/bundle/Bundle.h"
#include "wasabiloom/bundle/BundleReader.h"
#include "wasabiloom/bundle/Keys.h"

#include <string>
#include <string_view>
#include <vector>

namespace wasabiloom::bundle {

/// Signs the JSON text of a bundle. Errors: those of ReadBundle. Thread safe.
base::Result<std::string>
SignBundle(std::string_view aText, const SecretKey& aKey);

/// Text inside a signed bundle, its signature unchecked. Errors:
/// BundleTooLarge, BundleMalformed. Thread safe.
base::Result<std::string>
ExtractText(std::string_view aSigned);

/// Checks size, signature and content. Errors: BundleTooLarge,
/// BundleMalformed, BundleBadSignature, and those of ReadBundle. Thread safe.
base::Result<Bundle>
OpenBundle(std::string_view aSigned, const std::vector<PublicKey>& aTrusted);

} // namespace wasabiloom::bundle
