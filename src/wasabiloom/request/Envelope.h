/// Datagrams of services in request mode, as values.
#pragma once

#include "wasabiloom/base/ResultCode.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace wasabiloom::request {

/// Bytes of a request id.
constexpr std::size_t kRequestIdBytes = 16;

/// Largest body of one datagram.
constexpr std::size_t kMaxBodyBytes = 1200;

/// What a datagram means. Every refusal says that the request was not run.
enum class EnvelopeKind : std::uint8_t
{
  Request = 1,
  Answer = 2,
  Refusal = 3,
  Cancel = 4,
  UnknownOutcome = 5,
};

/// One datagram.
struct Envelope
{
  EnvelopeKind m_kind = EnvelopeKind::Request;
  std::string m_id;
  bool m_repeatable = false;
  std::chrono::milliseconds m_timeout{ 0 };
  std::uint32_t m_partIndex = 0;
  std::uint32_t m_partCount = 1;
  base::ResultCode m_code = base::ResultCode::Ok;
  std::string m_body;
  std::string m_service;

  friend auto operator<=>(const Envelope&, const Envelope&) = default;
};

} // namespace wasabiloom::request
