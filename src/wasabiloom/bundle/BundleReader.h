/// Reads a bundle from its JSON text and refuses anything ambiguous.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/bundle/Bundle.h"

#include <string_view>

namespace wasabiloom::bundle {

/// Largest signed bundle in bytes; the config service takes no more.
constexpr std::size_t kMaxBundleBytes = 1'000'000;

/// Parses and checks `aText`. Errors: the Json codes with key and line,
/// JsonClash when two zones, services, service addresses or backend servers
/// share a name or an address. Thread safe.
base::Result<Bundle>
ReadBundle(std::string_view aText);

} // namespace wasabiloom::bundle
