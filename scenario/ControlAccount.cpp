#include "ControlAccount.h"

#include "wasabiloom/wire/PeerCodec.h"

#include <array>

namespace wasabiloom::scenario {

namespace {

constexpr std::size_t kUdpIpHeaderBytes = 28;

} // namespace

std::string
MessageName(const peer::Message& aMessage)
{
  static const std::array<const char*, std::variant_size_v<peer::Message>>
    sNames = { "heartbeat", "propose",      "contribute",     "commit",
               "ack",       "notice",       "stray",          "sync_request",
               "sync",      "load_reports", "bundle_request", "bundle_reply" };
  return sNames.at(aMessage.index());
}

void
ControlAccount::Add(const peer::Datagram& aDatagram, base::Instant aNow)
{
  const auto window = aNow.time_since_epoch() / kControlWindow;
  const auto bytes = wire::EncodePeer(aDatagram).size() + kUdpIpHeaderBytes;
  m_bytes[window][MessageName(aDatagram.m_message)] +=
    static_cast<double>(bytes);
}

void
ControlAccount::Summarize(const std::vector<const ControlAccount*>& aAccounts,
                          Measures& aMeasures)
{
  constexpr double kSeconds = kControlWindow.count();
  double peak = 0;
  std::map<std::string, double> peakKinds;
  for (const ControlAccount* account : aAccounts) {
    for (const auto& [window, kinds] : account->m_bytes) {
      double sum = 0;
      for (const auto& [kind, bytes] : kinds) {
        sum += bytes;
      }
      aMeasures.Count("control_bytes", sum);
      if (sum > peak) {
        peak = sum;
        peakKinds = kinds;
      }
    }
  }
  aMeasures.Set("control_bytes_per_second", peak / kSeconds);
  for (const auto& [kind, bytes] : peakKinds) {
    aMeasures.Set("control_peak_" + kind, bytes / kSeconds);
  }
}

} // namespace wasabiloom::scenario
