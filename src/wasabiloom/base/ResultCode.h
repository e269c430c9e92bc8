/// Numbered outcomes shared by every module; `docs/RESULT-CODES.md` lists them.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace wasabiloom::base {

/// Outcome of an operation. The number is stable across releases.
enum class ResultCode : std::uint16_t
{
  Ok = 0,
  PacketTruncated = 101,
  PacketNotIpv4 = 102,
  PacketBadHeader = 103,
  PacketUnsupportedProtocol = 104,
  PacketOversized = 105,
  PacketForeignService = 106,
  PacketFragment = 107,
  JsonSyntax = 201,
  JsonUnknownKey = 202,
  JsonWrongType = 203,
  JsonOutOfRange = 204,
  JsonMissingKey = 205,
  JsonClash = 206,
  FileUnreadable = 207,
  FileUnwritable = 208,
  BundleTooLarge = 211,
  BundleMalformed = 212,
  BundleBadSignature = 213,
  BundleVersionNotNewer = 214,
  KeyInvalid = 215,
  NoEligibleTarget = 301,
  NotReady = 302,
  ZoneOut = 303,
  EnvelopeMalformed = 401,
  EnvelopeOversized = 402,
  DeadlinePassed = 403,
  NoCapacity = 404,
  BackendRefused = 405,
  OutcomeUnknown = 406,
  Cancelled = 407,
  HostLeaving = 408,
  PeerMessageMalformed = 501,
  PeerUnknown = 502,
  PeerUnreachable = 503,
  PlatformUnavailable = 504,
  ValueNotFound = 505,
  RateLimited = 506,
  HistoryGone = 507,
  RegistryMalformed = 508,
  AnswerTooLarge = 509,
  SocketFailed = 601,
  UsageError = 602,
};

/// One row of the table of result codes.
struct ResultCodeEntry
{
  ResultCode m_code;
  std::string_view m_name;
  std::string_view m_meaning;
};

/// All codes in ascending order. Thread safe.
std::span<const ResultCodeEntry>
AllResultCodes();

/// Name of `aCode`, or "Unlisted". Thread safe.
std::string_view
ToString(ResultCode aCode);

} // namespace wasabiloom::base
