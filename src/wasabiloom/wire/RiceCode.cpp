#include "wasabiloom/wire/RiceCode.h"

#include <bit>
#include <cstddef>

namespace wasabiloom::wire {

namespace {

constexpr std::uint32_t kMaxLowBits = 48;
constexpr std::uint64_t kValueLimit = std::uint64_t{ 1 } << 48;
constexpr std::size_t kBitsPerByte = 8;

class BitWriter
{
public:
  void Put(bool aBit)
  {
    if (m_bits % kBitsPerByte == 0) {
      m_bytes += '\0';
    }
    if (aBit) {
      const auto bit = 1U << (m_bits % kBitsPerByte);
      m_bytes.back() =
        static_cast<char>(static_cast<unsigned char>(m_bytes.back()) | bit);
    }
    ++m_bits;
  }

  std::string Take() { return std::move(m_bytes); }

private:
  std::string m_bytes;
  std::size_t m_bits = 0;
};

class BitReader
{
public:
  explicit BitReader(const std::string& aBytes)
    : m_bytes(aBytes)
  {
  }

  /// Empty at the end of the bytes.
  std::optional<bool> Take()
  {
    const std::size_t byte = m_bits / kBitsPerByte;
    if (byte >= m_bytes.size()) {
      return std::nullopt;
    }
    const auto value = static_cast<unsigned char>(m_bytes[byte]);
    const bool bit = ((value >> (m_bits % kBitsPerByte)) & 1U) != 0;
    ++m_bits;
    return bit;
  }

  std::size_t BitsLeft() const
  {
    return (m_bytes.size() * kBitsPerByte) - m_bits;
  }

private:
  const std::string& m_bytes;
  std::size_t m_bits = 0;
};

/// Low bits that make the quotients about one on average.
std::uint32_t
ChooseLowBits(const std::vector<std::uint64_t>& aAscending)
{
  if (aAscending.empty()) {
    return 0;
  }
  const std::uint64_t mean = aAscending.back() / aAscending.size();
  return mean == 0 ? 0 : static_cast<std::uint32_t>(std::bit_width(mean) - 1);
}

void
PutDelta(BitWriter& aWriter, std::uint64_t aDelta, std::uint32_t aLowBits)
{
  for (std::uint64_t i = 0; i < (aDelta >> aLowBits); ++i) {
    aWriter.Put(true);
  }
  aWriter.Put(false);
  for (std::uint32_t bit = 0; bit < aLowBits; ++bit) {
    aWriter.Put(((aDelta >> bit) & 1U) != 0);
  }
}

std::optional<std::uint64_t>
TakeDelta(BitReader& aReader, std::uint32_t aLowBits)
{
  std::uint64_t quotient = 0;
  while (true) {
    const auto bit = aReader.Take();
    if (!bit) {
      return std::nullopt;
    }
    if (!*bit) {
      break;
    }
    ++quotient;
  }
  if (aReader.BitsLeft() < aLowBits || (quotient << aLowBits) >= kValueLimit) {
    return std::nullopt;
  }
  std::uint64_t delta = quotient << aLowBits;
  for (std::uint32_t i = 0; i < aLowBits; ++i) {
    delta |= std::uint64_t{ *aReader.Take() } << i;
  }
  return delta;
}

} // namespace

RiceCoded
RiceEncode(const std::vector<std::uint64_t>& aAscending)
{
  RiceCoded coded;
  coded.m_lowBits = ChooseLowBits(aAscending);
  coded.m_count = static_cast<std::uint32_t>(aAscending.size());
  BitWriter writer;
  std::uint64_t last = 0;
  for (const std::uint64_t value : aAscending) {
    PutDelta(writer, value - last, coded.m_lowBits);
    last = value;
  }
  coded.m_bytes = writer.Take();
  return coded;
}

std::optional<std::vector<std::uint64_t>>
RiceDecode(const RiceCoded& aCoded)
{
  if (aCoded.m_lowBits > kMaxLowBits ||
      aCoded.m_count > aCoded.m_bytes.size() * kBitsPerByte) {
    return std::nullopt;
  }
  BitReader reader(aCoded.m_bytes);
  std::vector<std::uint64_t> values;
  std::uint64_t last = 0;
  for (std::uint32_t i = 0; i < aCoded.m_count; ++i) {
    const auto delta = TakeDelta(reader, aCoded.m_lowBits);
    if (!delta || *delta >= kValueLimit - last) {
      return std::nullopt;
    }
    last += *delta;
    values.push_back(last);
  }
  return values;
}

} // namespace wasabiloom::wire
