#include "wasabiloom/base/Hash.h"

#include <xxhash.h>

namespace wasabiloom::base {

std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

} // namespace wasabiloom::base
