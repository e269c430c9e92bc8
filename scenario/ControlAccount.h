/// Bytes that one host sends to its peers.
#pragma once

#include "EventQueue.h"
#include "Measures.h"

#include "wasabiloom/peer/Messages.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace wasabiloom::scenario {

/// Window over which control traffic is averaged.
constexpr std::chrono::seconds kControlWindow{ 10 };

/// Short name of a message's kind. Thread safe.
std::string
MessageName(const peer::Message& aMessage);

/// Sums by window of time and kind of message. One thread at a time.
class ControlAccount
{
public:
  /// Notes one datagram with its IP and UDP headers.
  void Add(const peer::Datagram& aDatagram, base::Instant aNow);

  /// Sets the measures of the busiest window of all hosts.
  static void Summarize(const std::vector<const ControlAccount*>& aAccounts,
                        Measures& aMeasures);

private:
  std::map<std::int64_t, std::map<std::string, double>> m_bytes;
};

} // namespace wasabiloom::scenario
