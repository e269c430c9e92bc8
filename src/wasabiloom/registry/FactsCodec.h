/// Facts as bytes, for hosts that learn from each other.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/registry/Source.h"

#include <string>
#include <string_view>

namespace wasabiloom::registry {

/// Writes a page in CBOR. Thread safe.
std::string
EncodeFacts(const Page& aPage);

/// Reads what EncodeFacts wrote. Errors: PeerMessageMalformed. Thread safe.
base::Result<Page>
DecodeFacts(std::string_view aBytes);

} // namespace wasabiloom::registry
