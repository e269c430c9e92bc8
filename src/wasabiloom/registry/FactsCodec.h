/// Encodes and decodes the registry updates that hosts exchange.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/registry/RegistryUpdate.h"

#include <string>
#include <string_view>

namespace wasabiloom::registry {

/// Serializes `aFacts`, compressed unless the list is short, for an update of
/// `aEpoch`; no fact is of a later epoch. Thread safe.
std::string
PackFacts(const std::vector<Fact>& aFacts, std::uint64_t aEpoch = 0);

/// Encodes `aUpdate` with `aPacked`, the result of PackFacts, in place of its
/// own facts. Thread safe.
std::string
EncodeUpdate(const RegistryUpdate& aUpdate, std::string_view aPacked);

/// Encodes `aUpdate` with its facts. Thread safe.
std::string
EncodeUpdate(const RegistryUpdate& aUpdate);

/// Decodes the result of EncodeUpdate. Errors: PeerMessageMalformed. Thread
/// safe.
base::Result<RegistryUpdate>
DecodeUpdate(std::string_view aBytes);

/// Maximum decompressed size of a list of facts, in bytes. Longer lists are
/// refused, which limits the memory that one message can take.
constexpr std::size_t kMaxUnpackedBytes = 16 * 1024 * 1024;

} // namespace wasabiloom::registry
