#include "wasabiloom/wire/EnvelopeCodec.h"

#include "generated/envelope.pb.h"

#include <algorithm>

namespace wasabiloom::wire {

namespace {

using base::ResultCode;

base::ResultCode
CodeOf(std::uint32_t aNumber)
{
  for (const base::ResultCodeEntry& entry : base::AllResultCodes()) {
    if (static_cast<std::uint32_t>(entry.m_code) == aNumber) {
      return entry.m_code;
    }
  }
  return ResultCode::BackendRefused;
}

} // namespace

std::string
EncodeEnvelope(const request::Envelope& aEnvelope)
{
  Envelope out;
  out.set_kind(static_cast<Envelope::Kind>(aEnvelope.m_kind));
  out.set_id(aEnvelope.m_id);
  out.set_repeatable(aEnvelope.m_repeatable);
  const auto deadline = std::max<std::int64_t>(aEnvelope.m_timeout.count(), 0);
  out.set_deadline_ms(static_cast<std::uint32_t>(deadline));
  out.set_part(aEnvelope.m_partIndex);
  out.set_parts(aEnvelope.m_partCount);
  out.set_code(static_cast<std::uint32_t>(aEnvelope.m_code));
  out.set_body(aEnvelope.m_body);
  out.set_service(aEnvelope.m_service);
  return out.SerializeAsString();
}

base::Result<request::Envelope>
DecodeEnvelope(std::span<const std::byte> aBytes)
{
  Envelope in;
  if (!in.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return base::Fail(ResultCode::EnvelopeMalformed, "not an envelope");
  }
  const int kind = in.kind();
  if (kind < static_cast<int>(request::EnvelopeKind::Request) ||
      kind > static_cast<int>(request::EnvelopeKind::UnknownOutcome)) {
    return base::Fail(ResultCode::EnvelopeMalformed, "unknown kind");
  }
  if (in.id().size() != request::kRequestIdBytes) {
    return base::Fail(ResultCode::EnvelopeMalformed, "id is not 16 bytes");
  }
  if (in.body().size() > request::kMaxBodyBytes) {
    return base::Fail(ResultCode::EnvelopeOversized, "body over 1200 bytes");
  }
  request::Envelope envelope;
  envelope.m_kind = static_cast<request::EnvelopeKind>(kind);
  envelope.m_id = in.id();
  envelope.m_repeatable = in.repeatable();
  envelope.m_timeout = std::chrono::milliseconds(in.deadline_ms());
  envelope.m_partIndex = in.part();
  envelope.m_partCount = in.parts();
  envelope.m_code = CodeOf(in.code());
  envelope.m_body = in.body();
  envelope.m_service = in.service();
  return envelope;
}

} // namespace wasabiloom::wire
