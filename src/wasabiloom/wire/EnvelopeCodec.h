/// Encodes and decodes the datagrams of services in request mode.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/request/Envelope.h"

#include <cstddef>
#include <span>
#include <string>

namespace wasabiloom::wire {

/// Bytes of `aEnvelope`. Thread safe.
std::string
EncodeEnvelope(const request::Envelope& aEnvelope);

/// Errors: EnvelopeMalformed, EnvelopeOversized. Thread safe.
base::Result<request::Envelope>
DecodeEnvelope(std::span<const std::byte> aBytes);

} // namespace wasabiloom::wire
