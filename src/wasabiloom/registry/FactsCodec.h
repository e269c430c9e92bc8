/// Facts as bytes, for hosts that learn from each other.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/registry/News.h"

#include <string>
#include <string_view>

namespace wasabiloom::registry {

/// Writes news in CBOR. Thread safe.
std::string
EncodeNews(const News& aNews);

/// Reads what EncodeNews wrote. Errors: PeerMessageMalformed. Thread safe.
base::Result<News>
DecodeNews(std::string_view aBytes);

} // namespace wasabiloom::registry
