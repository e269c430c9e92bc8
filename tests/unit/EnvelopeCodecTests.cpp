#include "support/Problems.h"
#include "support/Section.h"
#include "wasabiloom/wire/EnvelopeCodec.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wasabiloom::tests {

using base::ResultCode;
using request::Envelope;
using wire::DecodeEnvelope;
using wire::EncodeEnvelope;

namespace {

Envelope
SampleEnvelope()
{
  Envelope envelope;
  envelope.m_id = std::string(request::kRequestIdBytes, 'i');
  envelope.m_repeatable = true;
  envelope.m_timeout = std::chrono::milliseconds(250);
  envelope.m_body = "body";
  envelope.m_service = "vault";
  return envelope;
}

base::Result<Envelope>
Decode(const std::string& aBytes)
{
  return DecodeEnvelope(std::as_bytes(std::span(aBytes)));
}

} // namespace

TEST(EnvelopeCodec, KeepsEnvelopesAndRefusesOthers)
{
  Section("what is encoded comes back", [] {
    const Envelope envelope = SampleEnvelope();
    EXPECT_EQ(ValueOf([&] { return Decode(EncodeEnvelope(envelope)); }),
              envelope);
  });
  Section("a short id, an unknown kind and garbage are malformed", [] {
    Envelope envelope = SampleEnvelope();
    envelope.m_id = "short";
    const auto code = [](const std::string& aBytes) {
      return ProblemOf([&] { return Decode(aBytes); }).m_code;
    };
    EXPECT_EQ(code(EncodeEnvelope(envelope)), ResultCode::EnvelopeMalformed);
    envelope = SampleEnvelope();
    envelope.m_kind = static_cast<request::EnvelopeKind>(9);
    EXPECT_EQ(code(EncodeEnvelope(envelope)), ResultCode::EnvelopeMalformed);
    EXPECT_EQ(code("\xff\xff\xff"), ResultCode::EnvelopeMalformed);
  });
  Section("a body that fits no datagram is oversized", [] {
    Envelope envelope = SampleEnvelope();
    envelope.m_body.resize(request::kMaxBodyBytes + 1);
    EXPECT_EQ(
      ProblemOf([&] { return Decode(EncodeEnvelope(envelope)); }).m_code,
      ResultCode::EnvelopeOversized);
  });
}

RC_GTEST_PROP(EnvelopeCodec, RefusesDamageWithoutHarm, ())
{
  std::string bytes = EncodeEnvelope(SampleEnvelope());
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  static_cast<void>(ProblemOf([&] { return Decode(bytes); }));
}

} // namespace wasabiloom::tests
