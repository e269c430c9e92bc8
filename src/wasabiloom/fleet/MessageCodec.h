/// Messages between entry hosts as datagrams.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/fleet/Message.h"

#include <string>
#include <string_view>

namespace wasabiloom::fleet {

/// Longest datagram that is sent, in bytes.
constexpr std::size_t kMaxMessageBytes = 1300;

/// Writes a message in CBOR. Thread safe.
std::string
EncodeMessage(const Message& aMessage);

/// Reads what EncodeMessage wrote. Errors: PeerMessageMalformed. Thread safe.
base::Result<Message>
DecodeMessage(std::string_view aBytes);

} // namespace wasabiloom::fleet
