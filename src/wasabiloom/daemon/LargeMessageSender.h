/// Task that sends peer messages that are too large for a datagram.
#pragma once

#include "wasabiloom/base/Endpoint.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace wasabiloom::daemon {

/// Owns the gRPC channels to the peers and one thread. Each message is sent
/// once; the core sends it again if there is no response.
class LargeMessageSender
{
public:
  LargeMessageSender();
  ~LargeMessageSender();
  LargeMessageSender(const LargeMessageSender&) = delete;
  LargeMessageSender& operator=(const LargeMessageSender&) = delete;

  /// Queues `aBytes`. Drops the oldest message if the queue is full.
  /// Thread safe.
  void Send(const base::Endpoint& aTo, std::string aBytes);

private:
  struct Item
  {
    base::Endpoint m_to;
    std::string m_bytes;
  };
  class Channels;

  void Run();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<Item> m_queue;
  bool m_stopping = false;
  std::unique_ptr<Channels> m_channels;
  std::thread m_thread;
};

} // namespace wasabiloom::daemon
