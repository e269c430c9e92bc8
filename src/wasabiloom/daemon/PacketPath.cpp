#include "wasabiloom/daemon/PacketPath.h"

namespace wasabiloom::daemon {

PacketPath::PacketPath(UdpSocket& aSocket,
                       core::HostCore& aCore,
                       RefusalHandler aOnRefusal)
  : m_socket(aSocket)
  , m_core(aCore)
  , m_onRefusal(std::move(aOnRefusal))
{
}

std::size_t
PacketPath::CarryBatch(base::Instant aNow)
{
  const auto datagrams = m_socket.Receive();
  for (const Received& datagram : datagrams) {
    m_core.Prefetch(datagram.m_bytes);
  }
  for (const Received& datagram : datagrams) {
    if (datagram.m_truncated) {
      m_onRefusal(base::ResultCode::PacketOversized, datagram.m_from);
    } else {
      Carry(datagram, m_core.OnPacket(datagram.m_bytes, aNow));
    }
  }
  m_socket.Flush();
  return datagrams.size();
}

void
PacketPath::Carry(const Received& aDatagram,
                  const core::PacketDecision& aDecision)
{
  switch (aDecision.m_action) {
    case core::PacketAction::Forward:
    case core::PacketAction::Relay:
      m_socket.Queue(aDatagram.m_bytes, aDecision.m_to);
      break;
    case core::PacketAction::Consumed:
      break;
    case core::PacketAction::Drop:
      m_onRefusal(aDecision.m_code, aDatagram.m_from);
      break;
  }
}

} // namespace wasabiloom::daemon
