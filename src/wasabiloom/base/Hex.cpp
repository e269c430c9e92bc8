#include "wasabiloom/base/Hex.h"

namespace wasabiloom::base {

std::string
ToHex(std::string_view aBytes)
{
  static const char* const sDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const char byte : aBytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += sDigits[value >> 4];
    text += sDigits[value & 0x0f];
  }
  return text;
}

} // namespace wasabiloom::base
