#include "wasabiloom/bundle/Keys.h"

#include <sodium.h>

#include <cstdlib>

namespace wasabiloom::bundle {

namespace {

using base::ResultCode;

void
EnsureSodium()
{
  static const int sReady = sodium_init();
  if (sReady < 0) {
    std::abort();
  }
}

const unsigned char*
Raw(std::string_view aBytes)
{
  return reinterpret_cast<const unsigned char*>(aBytes.data());
}

unsigned char*
Raw(std::string& aBytes)
{
  return reinterpret_cast<unsigned char*>(aBytes.data());
}

base::Result<std::string>
FromBase64(std::string_view aText, std::size_t aSize)
{
  EnsureSodium();
  std::string bytes(aSize, '\0');
  std::size_t length = 0;
  const int failure = sodium_base642bin(Raw(bytes),
                                        bytes.size(),
                                        aText.data(),
                                        aText.size(),
                                        " \n\r",
                                        &length,
                                        nullptr,
                                        sodium_base64_VARIANT_ORIGINAL);
  if (failure != 0 || length != aSize) {
    return base::Fail(ResultCode::KeyInvalid,
                      "expected " + std::to_string(aSize) + " bytes in base64");
  }
  return bytes;
}

} // namespace

KeyPair
NewKeyPair()
{
  EnsureSodium();
  KeyPair pair;
  pair.m_public.m_bytes.resize(crypto_sign_PUBLICKEYBYTES);
  pair.m_secret.m_bytes.resize(crypto_sign_SECRETKEYBYTES);
  crypto_sign_keypair(Raw(pair.m_public.m_bytes), Raw(pair.m_secret.m_bytes));
  return pair;
}

std::string
ToBase64(std::string_view aBytes)
{
  EnsureSodium();
  std::string text(
    sodium_base64_ENCODED_LEN(aBytes.size(), sodium_base64_VARIANT_ORIGINAL),
    '\0');
  sodium_bin2base64(text.data(),
                    text.size(),
                    Raw(aBytes),
                    aBytes.size(),
                    sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();
  return text;
}

base::Result<PublicKey>
ReadPublicKey(std::string_view aBase64)
{
  BOOST_LEAF_AUTO(bytes, FromBase64(aBase64, crypto_sign_PUBLICKEYBYTES));
  return PublicKey{ bytes };
}

base::Result<SecretKey>
ReadSecretKey(std::string_view aBase64)
{
  BOOST_LEAF_AUTO(bytes, FromBase64(aBase64, crypto_sign_SECRETKEYBYTES));
  return SecretKey{ bytes };
}

std::string
SignBytes(std::string_view aBytes, const SecretKey& aKey)
{
  EnsureSodium();
  std::string signature(crypto_sign_BYTES, '\0');
  crypto_sign_detached(Raw(signature),
                       nullptr,
                       Raw(aBytes),
                       aBytes.size(),
                       Raw(std::string_view(aKey.m_bytes)));
  return signature;
}

bool
VerifyBytes(std::string_view aBytes,
            std::string_view aSignature,
            const PublicKey& aKey)
{
  EnsureSodium();
  return aSignature.size() == crypto_sign_BYTES &&
         aKey.m_bytes.size() == crypto_sign_PUBLICKEYBYTES &&
         crypto_sign_verify_detached(Raw(aSignature),
                                     Raw(aBytes),
                                     aBytes.size(),
                                     Raw(std::string_view(aKey.m_bytes))) == 0;
}

} // namespace wasabiloom::bundle
