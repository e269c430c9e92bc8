/// The operator's commands. Each takes the words after its name and returns
/// the exit code; errors travel as Results.
#pragma once

#include "wasabiloom/base/Result.h"

#include <string>
#include <vector>

namespace wasabiloom::cli {

/// Words of a command line after the command's name.
using Words = std::vector<std::string>;

/// `keys new --out PREFIX`: writes PREFIX.public and PREFIX.secret.
base::Result<int>
KeysNew(const Words& aWords);

/// `bundle check FILE`: checks the JSON text of a bundle.
base::Result<int>
BundleCheck(const Words& aWords);

/// `bundle sign FILE --key SECRET --out SIGNED`.
base::Result<int>
BundleSign(const Words& aWords);

/// `bundle show SIGNED --key PUBLIC`: prints a signed bundle's text.
base::Result<int>
BundleShow(const Words& aWords);

/// `bundle diff OLD NEW`: what changes between two JSON texts.
base::Result<int>
BundleDiff(const Words& aWords);

/// `status --host A.B.C.D:PORT`.
base::Result<int>
Status(const Words& aWords);

/// `explain --host A.B.C.D:PORT --caller A.B.C.D:PORT --service A.B.C.D:PORT`.
base::Result<int>
Explain(const Words& aWords);

} // namespace wasabiloom::cli
