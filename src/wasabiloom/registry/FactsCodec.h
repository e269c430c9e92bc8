/// News as bytes that hosts exchange.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/registry/RegistryUpdate.h"

#include <string>
#include <string_view>

namespace wasabiloom::registry {

/// Facts as bytes, compressed where that pays. Thread safe.
std::string
PackFacts(const std::vector<Fact>& aFacts);

/// `aNews` with its facts already packed as `aPacked`. Thread safe.
std::string
EncodeUpdate(const RegistryUpdate& aNews, std::string_view aPacked);

/// Bytes of `aNews`. Thread safe.
std::string
EncodeUpdate(const RegistryUpdate& aNews);

/// Inverse of EncodeNews. Errors: PeerMessageMalformed. Thread safe.
base::Result<RegistryUpdate>
DecodeUpdate(std::string_view aBytes);

/// Longest list of facts that is unpacked, in bytes.
constexpr std::size_t kMaxUnpackedBytes = 16 * 1024 * 1024;

} // namespace wasabiloom::registry
