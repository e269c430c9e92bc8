/// Encodes and decodes the datagrams that entry hosts exchange.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/fleet/Message.h"

#include <string>
#include <string_view>

namespace wasabiloom::fleet {

/// Longest datagram that a host is to send, in bytes. EncodeMessage does not
/// enforce it.
constexpr std::size_t kMaxMessageBytes = 1300;

/// Encodes a message with Protocol Buffers, in a frame with a format number and
/// a checksum. Thread safe.
std::string
EncodeMessage(const Message& aMessage);

/// Decodes what EncodeMessage returned. Errors: PeerMessageMalformed. Thread
/// safe.
base::Result<Message>
DecodeMessage(std::string_view aBytes);

} // namespace wasabiloom::fleet
