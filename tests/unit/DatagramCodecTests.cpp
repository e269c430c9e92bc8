#include "platform/DatagramCodec.h"
#include "support/Section.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <vector>

namespace wasabiloom::tests {

using base::ResultCode;
using packet::TokenPacket;
using platform::DatagramCodec;

namespace {

using Bytes = std::vector<std::byte>;
using Out = std::array<std::byte, packet::kMaxTokenDatagram>;

Bytes
FromHex(std::string_view aText)
{
  Bytes bytes;
  for (std::size_t i = 0; i + 1 < aText.size(); i += 3) {
    bytes.push_back(static_cast<std::byte>(
      std::stoi(std::string(aText.substr(i, 2)), nullptr, 16)));
  }
  return bytes;
}

/// The opening packet that the platform's pages show.
const Bytes kOpening =
  FromHex("00 00 00 00 44 33 22 11 00 00 00 00 08 00 00 00 00 00 d5 c3 b2 a1 "
          "bb 01 01 00 12 c6 07 00 40 64 41 9c");

/// The reset that they show for it.
const Bytes kReset =
  FromHex("00 00 00 00 00 00 00 00 00 00 00 00 04 00 00 00 00 00 00 00 00 00 "
          "41 9c 07 00 40 64 01 00 12 c6 bb 01");

Bytes
Data(std::uint16_t aLength)
{
  Bytes bytes = kOpening;
  bytes[12] = std::byte{ 32 };
  bytes[16] = static_cast<std::byte>(aLength & 0xff);
  bytes[17] = static_cast<std::byte>(aLength >> 8);
  bytes.resize(bytes.size() + aLength, std::byte{ 0x5a });
  return bytes;
}

} // namespace

TEST(DatagramCodec, ReadsWhatThePagesShow)
{
  const DatagramCodec codec;
  const auto parsed = codec.Parse(kOpening);
  ASSERT_EQ(parsed.m_code, ResultCode::Ok);
  const TokenPacket& packet = parsed.m_packet;
  EXPECT_EQ(ToString(packet.m_flow.m_caller), "100.64.0.7:40001");
  EXPECT_EQ(ToString(packet.m_flow.m_service.m_endpoint), "198.18.0.1:443");
  EXPECT_EQ(packet.m_sequence, 0x11223344U);
  EXPECT_TRUE(packet.m_opens);
  EXPECT_FALSE(packet.m_closes);
  EXPECT_EQ(packet.m_copy, 0U);

  Section("and counts the copies of an opening packet", [&] {
    Bytes copy = kOpening;
    copy[8] = std::byte{ 2 };
    EXPECT_EQ(codec.Parse(copy).m_packet.m_copy, 2U);
  });
  Section("but not those of another one", [&] {
    Bytes data = Data(4);
    data[8] = std::byte{ 2 };
    EXPECT_EQ(codec.Parse(data).m_packet.m_copy, 0U);
    EXPECT_EQ(codec.Parse(data).m_packet.m_acknowledged, 2U);
  });
}

TEST(DatagramCodec, WritesTheResetThatThePagesShow)
{
  const DatagramCodec codec;
  Out out;
  const auto length = codec.WriteReset(codec.Parse(kOpening).m_packet, out);
  EXPECT_EQ(Bytes(out.begin(), out.begin() + length), kReset);

  Section("on an open flow it carries what the caller acknowledged", [&] {
    Bytes data = Data(4);
    data[8] = std::byte{ 9 };
    codec.WriteReset(codec.Parse(data).m_packet, out);
    EXPECT_EQ(out[4], std::byte{ 9 });
  });
}

TEST(DatagramCodec, NamesServerAndTokenInWhatItDelivers)
{
  const DatagramCodec codec;
  const packet::Delivery delivery{ 0x7f3a91c2, 0xa1b2c3d4 };
  Out out;

  Section("an opening packet takes the token", [&] {
    const auto length = codec.WriteDelivery(kOpening, delivery, out);
    ASSERT_EQ(length, kOpening.size() + 8);
    EXPECT_EQ(Bytes(out.begin(), out.begin() + 12),
              FromHex("00 00 00 00 7f 3a 91 c2 d4 c3 b2 a1"));
    EXPECT_EQ(Bytes(out.begin() + 12, out.begin() + length),
              Bytes(kOpening.begin() + 4, kOpening.end()));
  });
  Section("any other stays as it is", [&] {
    const Bytes data = Data(1200);
    const auto length = codec.WriteDelivery(data, delivery, out);
    EXPECT_EQ(Bytes(out.begin() + 8, out.begin() + length), data);
  });
}

TEST(DatagramCodec, RefusesWhatIsNoPacket)
{
  const DatagramCodec codec;
  EXPECT_EQ(codec.Parse({}).m_code, ResultCode::PacketTruncated);
  EXPECT_EQ(codec.Parse(std::span(kOpening).first(33)).m_code,
            ResultCode::PacketTruncated);
  EXPECT_EQ(codec.Parse(Data(1201)).m_code, ResultCode::PacketOversized);
  Bytes mismatch = Data(10);
  mismatch.pop_back();
  EXPECT_EQ(codec.Parse(mismatch).m_code, ResultCode::PacketBadHeader);
}

RC_GTEST_PROP(DatagramCodec, SurvivesAnyBytes, (const std::vector<char>& aRaw))
{
  const DatagramCodec codec;
  const auto bytes = std::as_bytes(std::span(aRaw));
  const auto parsed = codec.Parse(bytes);
  if (parsed.m_code == ResultCode::Ok) {
    Out out;
    RC_ASSERT(codec.WriteDelivery(bytes, { 1, 2 }, out) == bytes.size() + 8);
    RC_ASSERT(codec.WriteReset(parsed.m_packet, out) == platform::kHeadBytes);
  }
}

} // namespace wasabiloom::tests
