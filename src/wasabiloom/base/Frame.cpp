#include "wasabiloom/base/Frame.h"

#include "wasabiloom/base/Hash.h"

namespace wasabiloom::base {

namespace {

/// One byte of format and four of checksum.
constexpr std::size_t kHeadBytes = 5;
constexpr int kBitsAByte = 8;

std::string
HeadOf(std::uint8_t aFormat, std::string_view aBody)
{
  std::string head(1, static_cast<char>(aFormat));
  std::uint64_t sum = HashText(aBody, aFormat);
  while (head.size() < kHeadBytes) {
    head += static_cast<char>(sum);
    sum >>= kBitsAByte;
  }
  return head;
}

} // namespace

std::string
Seal(std::uint8_t aFormat, std::string_view aBody)
{
  return HeadOf(aFormat, aBody).append(aBody);
}

Result<std::string_view>
Unseal(std::uint8_t aFormat, std::string_view aFrame)
{
  if (aFrame.size() < kHeadBytes) {
    return Fail(ResultCode::PeerMessageMalformed, "too short for a frame");
  }
  const std::string_view body = aFrame.substr(kHeadBytes);
  if (aFrame.substr(0, kHeadBytes) != HeadOf(aFormat, body)) {
    return Fail(ResultCode::PeerMessageMalformed,
                "another format, or not the whole frame");
  }
  return body;
}

} // namespace wasabiloom::base
