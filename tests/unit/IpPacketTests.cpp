#include "support/Section.h"
#include "wasabiloom/packet/IpWriter.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wasabiloom::tests {

using base::ResultCode;
using packet::ParsePacket;
using packet::TcpKind;

namespace {

const base::Endpoint kCaller{ { 0x0a000001 }, 40000 };
const base::Endpoint kService{ { 0x0a640001 }, 443 };

std::vector<std::byte>
Payload(std::size_t aSize)
{
  return std::vector<std::byte>(aSize, std::byte{ 7 });
}

} // namespace

TEST(IpPackets, YieldTheirFlow)
{
  Section("a TCP segment tells whether it opens or closes", [] {
    const auto open = packet::WriteTcp(kCaller, kService, TcpKind::Open, {});
    const auto parsed = ParsePacket(open);
    ASSERT_EQ(parsed.m_code, ResultCode::Ok);
    EXPECT_TRUE(parsed.m_view.m_opens);
    EXPECT_EQ(parsed.m_view.m_flow.m_caller, kCaller);
    EXPECT_EQ(parsed.m_view.m_flow.m_service.m_endpoint, kService);
    const auto close = packet::WriteTcp(kCaller, kService, TcpKind::Close, {});
    EXPECT_TRUE(ParsePacket(close).m_view.m_closes);
    EXPECT_FALSE(ParsePacket(close).m_view.m_opens);
  });
  Section("a UDP datagram yields its payload", [] {
    const auto bytes = packet::WriteUdp(kCaller, kService, Payload(33));
    const auto parsed = ParsePacket(bytes);
    ASSERT_EQ(parsed.m_code, ResultCode::Ok);
    EXPECT_EQ(parsed.m_view.m_payload.size(), 33U);
  });
}

TEST(IpPackets, AreRefusedWhenDamaged)
{
  const auto whole =
    packet::WriteTcp(kCaller, kService, TcpKind::Data, Payload(10));
  Section("every truncation is noticed", [&] {
    for (std::size_t size = 0; size < whole.size(); ++size) {
      const auto parsed = ParsePacket(std::span(whole).first(size));
      EXPECT_EQ(parsed.m_code, ResultCode::PacketTruncated) << size;
    }
  });
  Section("each bad field has its code", [&] {
    const auto with = [&](std::size_t aOffset, int aValue) {
      auto bytes = whole;
      bytes[aOffset] = static_cast<std::byte>(aValue);
      return ParsePacket(bytes).m_code;
    };
    EXPECT_EQ(with(0, 0x65), ResultCode::PacketNotIpv4);
    EXPECT_EQ(with(0, 0x44), ResultCode::PacketBadHeader);
    EXPECT_EQ(with(6, 0x20), ResultCode::PacketFragment);
    EXPECT_EQ(with(9, 1), ResultCode::PacketUnsupportedProtocol);
    EXPECT_EQ(with(32, 0x10), ResultCode::PacketBadHeader);
    EXPECT_EQ(with(32, 0xf0), ResultCode::PacketTruncated);
  });
}

RC_GTEST_PROP(IpPackets, NeverYieldBytesOutsideTheBuffer, ())
{
  auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(
    rc::gen::arbitrary<std::uint8_t>());
  if (!bytes.empty() && *rc::gen::arbitrary<bool>()) {
    bytes[0] = 0x45;
  }
  const auto view = std::as_bytes(std::span(bytes));
  const auto parsed = ParsePacket(view);
  if (parsed.m_code == ResultCode::Ok) {
    const auto payload = parsed.m_view.m_payload;
    RC_ASSERT(payload.data() >= view.data());
    RC_ASSERT(payload.data() + payload.size() <= view.data() + view.size());
  }
}

} // namespace wasabiloom::tests
