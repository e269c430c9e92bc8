/// Datagrams of services in request mode, independent of their encoding.
#pragma once

#include "wasabiloom/base/ResultCode.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace wasabiloom::request {

/// Length of a request id, in bytes.
constexpr std::size_t kRequestIdBytes = 16;

/// Largest body of one datagram, in bytes.
constexpr std::size_t kMaxBodyBytes = 1200;

/// Purpose of a datagram. A refusal always means that the request was not run.
enum class EnvelopeKind : std::uint8_t
{
  Request = 1,
  Answer = 2,
  Refusal = 3,
  Cancel = 4,
  UnknownOutcome = 5,
};

/// One datagram between a caller, a host and a backend server.
struct Envelope
{
  EnvelopeKind m_kind = EnvelopeKind::Request;
  std::string m_id;
  /// The request may run more than once.
  bool m_repeatable = false;
  /// Time left to answer the request, counted from the receipt of the datagram.
  std::chrono::milliseconds m_timeout{ 0 };
  /// Index of this part of an answer, below the number of parts.
  std::uint32_t m_partIndex = 0;
  std::uint32_t m_partCount = 1;
  base::ResultCode m_code = base::ResultCode::Ok;
  std::string m_body;
  std::string m_service;

  friend auto operator<=>(const Envelope&, const Envelope&) = default;
};

} // namespace wasabiloom::request
