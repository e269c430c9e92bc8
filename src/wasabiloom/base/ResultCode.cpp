#include "wasabiloom/base/ResultCode.h"

#include <algorithm>
#include <array>

namespace wasabiloom::base {

namespace {

constexpr std::array kEntries = {
  ResultCodeEntry{ ResultCode::Ok, "Ok", "success" },
  ResultCodeEntry{ ResultCode::PacketTruncated,
                   "PacketTruncated",
                   "packet shorter than its headers say" },
  ResultCodeEntry{ ResultCode::PacketNotIpv4,
                   "PacketNotIpv4",
                   "datagram payload is not an IPv4 packet" },
  ResultCodeEntry{ ResultCode::PacketBadHeader,
                   "PacketBadHeader",
                   "IPv4, TCP or UDP header field out of range" },
  ResultCodeEntry{ ResultCode::PacketUnsupportedProtocol,
                   "PacketUnsupportedProtocol",
                   "packet is neither TCP nor UDP" },
  ResultCodeEntry{ ResultCode::PacketOversized,
                   "PacketOversized",
                   "datagram larger than the receive buffer" },
  ResultCodeEntry{ ResultCode::PacketForeignService,
                   "PacketForeignService",
                   "destination is no service of the bundle in force" },
  ResultCodeEntry{ ResultCode::PacketFragment,
                   "PacketFragment",
                   "IPv4 fragments carry no ports and are dropped" },
  ResultCodeEntry{ ResultCode::JsonSyntax,
                   "JsonSyntax",
                   "text is not JSON with comments" },
  ResultCodeEntry{ ResultCode::JsonUnknownKey,
                   "JsonUnknownKey",
                   "key is not known at this place" },
  ResultCodeEntry{ ResultCode::JsonWrongType,
                   "JsonWrongType",
                   "value has another type than the key expects" },
  ResultCodeEntry{ ResultCode::JsonOutOfRange,
                   "JsonOutOfRange",
                   "value lies outside the allowed range" },
  ResultCodeEntry{ ResultCode::JsonMissingKey,
                   "JsonMissingKey",
                   "required key is missing" },
  ResultCodeEntry{ ResultCode::JsonClash,
                   "JsonClash",
                   "two entries claim the same name or address" },
  ResultCodeEntry{ ResultCode::FileUnreadable,
                   "FileUnreadable",
                   "file cannot be read" },
  ResultCodeEntry{ ResultCode::FileUnwritable,
                   "FileUnwritable",
                   "file cannot be written" },
  ResultCodeEntry{ ResultCode::BundleTooLarge,
                   "BundleTooLarge",
                   "signed bundle exceeds 1 MB" },
  ResultCodeEntry{ ResultCode::BundleMalformed,
                   "BundleMalformed",
                   "bytes are not a signed bundle" },
  ResultCodeEntry{ ResultCode::BundleBadSignature,
                   "BundleBadSignature",
                   "signature does not match a trusted key" },
  ResultCodeEntry{ ResultCode::BundleVersionNotNewer,
                   "BundleVersionNotNewer",
                   "bundle version is not above the one in force" },
  ResultCodeEntry{ ResultCode::KeyInvalid,
                   "KeyInvalid",
                   "key is not 32 (public) or 64 (secret) bytes in base64" },
  ResultCodeEntry{ ResultCode::NoEligibleTarget,
                   "NoEligibleTarget",
                   "no backend server of the service may take new work" },
  ResultCodeEntry{ ResultCode::NotReady,
                   "NotReady",
                   "host has not yet learned the state it needs" },
  ResultCodeEntry{ ResultCode::ZoneOut,
                   "ZoneOut",
                   "the flow's backend server is in a zone taken out" },
  ResultCodeEntry{ ResultCode::EnvelopeMalformed,
                   "EnvelopeMalformed",
                   "request datagram is not a valid envelope" },
  ResultCodeEntry{ ResultCode::EnvelopeOversized,
                   "EnvelopeOversized",
                   "request body exceeds one datagram" },
  ResultCodeEntry{ ResultCode::DeadlinePassed,
                   "DeadlinePassed",
                   "deadline passed before the request was run" },
  ResultCodeEntry{ ResultCode::NoCapacity,
                   "NoCapacity",
                   "no backend server has a free slot before the deadline" },
  ResultCodeEntry{ ResultCode::BackendRefused,
                   "BackendRefused",
                   "every backend server tried refused without running it" },
  ResultCodeEntry{ ResultCode::OutcomeUnknown,
                   "OutcomeUnknown",
                   "sent to a backend server that did not answer in time" },
  ResultCodeEntry{ ResultCode::Cancelled,
                   "Cancelled",
                   "caller cancelled before the request was run" },
  ResultCodeEntry{ ResultCode::HostLeaving,
                   "HostLeaving",
                   "host is stopping and takes no new request" },
  ResultCodeEntry{ ResultCode::PeerMessageMalformed,
                   "PeerMessageMalformed",
                   "peer datagram cannot be decoded" },
  ResultCodeEntry{ ResultCode::PeerUnknown,
                   "PeerUnknown",
                   "peer message from an address outside the host list" },
  ResultCodeEntry{ ResultCode::PeerUnreachable,
                   "PeerUnreachable",
                   "peer did not answer in time" },
  ResultCodeEntry{ ResultCode::PlatformUnavailable,
                   "PlatformUnavailable",
                   "config service or host list did not answer" },
  ResultCodeEntry{ ResultCode::ValueNotFound,
                   "ValueNotFound",
                   "the named value or object does not exist" },
  ResultCodeEntry{ ResultCode::RateLimited,
                   "RateLimited",
                   "config service refused the call over its rate limit" },
  ResultCodeEntry{ ResultCode::HistoryGone,
                   "HistoryGone",
                   "registry no longer has the changes asked for" },
  ResultCodeEntry{ ResultCode::RegistryMalformed,
                   "RegistryMalformed",
                   "registry's answer cannot be decoded" },
  ResultCodeEntry{ ResultCode::AnswerTooLarge,
                   "AnswerTooLarge",
                   "registry's answer is longer than a host accepts" },
  ResultCodeEntry{ ResultCode::SocketFailed,
                   "SocketFailed",
                   "socket cannot be opened or bound" },
  ResultCodeEntry{ ResultCode::UsageError,
                   "UsageError",
                   "command line is not understood" },
};

} // namespace

std::span<const ResultCodeEntry>
AllResultCodes()
{
  return kEntries;
}

std::string_view
ToString(ResultCode aCode)
{
  const auto* found =
    std::find_if(kEntries.begin(), kEntries.end(), [&](const auto& aEntry) {
      return aEntry.m_code == aCode;
    });
  return found == kEntries.end() ? "Unlisted" : found->m_name;
}

} // namespace wasabiloom::base
