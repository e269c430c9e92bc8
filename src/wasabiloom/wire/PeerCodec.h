/// Encodes and decodes messages between entry hosts.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/peer/Messages.h"

#include <string>
#include <string_view>

namespace wasabiloom::wire {

/// Bytes of `aDatagram`. Thread safe.
std::string
EncodePeer(const peer::Datagram& aDatagram);

/// Errors: PeerMessageMalformed for anything EncodePeer cannot have made.
/// Thread safe.
base::Result<peer::Datagram>
DecodePeer(std::string_view aBytes);

} // namespace wasabiloom::wire
