/// Ed25519 keys of the operators who sign bundles.
#pragma once

#include "wasabiloom/base/Result.h"

#include <compare>
#include <string>
#include <string_view>

namespace wasabiloom::bundle {

/// Public key: 32 raw bytes.
struct PublicKey
{
  std::string m_bytes;

  friend auto operator<=>(const PublicKey&, const PublicKey&) = default;
};

/// Secret key: 64 raw bytes, seed and public key as libsodium lays them out.
struct SecretKey
{
  std::string m_bytes;

  friend auto operator<=>(const SecretKey&, const SecretKey&) = default;
};

/// Fresh key pair.
struct KeyPair
{
  PublicKey m_public;
  SecretKey m_secret;
};

/// Draws a key pair from the system's random source. Thread safe.
KeyPair
NewKeyPair();

/// Base64 of a key's bytes. Thread safe.
std::string
ToBase64(std::string_view aBytes);

/// Errors: KeyInvalid. Thread safe.
base::Result<PublicKey>
ReadPublicKey(std::string_view aBase64);

/// Errors: KeyInvalid. Thread safe.
base::Result<SecretKey>
ReadSecretKey(std::string_view aBase64);

/// Detached signature of `aBytes`, 64 bytes. Thread safe.
std::string
SignBytes(std::string_view aBytes, const SecretKey& aKey);

/// Whether `aSignature` over `aBytes` was made with `aKey`. Thread safe.
bool
VerifyBytes(std::string_view aBytes,
            std::string_view aSignature,
            const PublicKey& aKey);

} // namespace wasabiloom::bundle
