#include "wasabiloom/daemon/LargeMessageSender.h"

#include "generated/peer_service.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <map>

namespace wasabiloom::daemon {

namespace {

constexpr std::size_t kMaxQueued = 1024;
constexpr std::chrono::milliseconds kDeliveryTimeout{ 500 };

} // namespace

/// One channel for each peer that was addressed.
class LargeMessageSender::Channels
{
public:
  void Deliver(const Item& aItem)
  {
    auto& stub = m_stubs[aItem.m_to];
    if (!stub) {
      stub = peers::PeerLink::NewStub(grpc::CreateChannel(
        ToString(aItem.m_to), grpc::InsecureChannelCredentials()));
    }
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kDeliveryTimeout);
    peers::Frame frame;
    frame.set_datagram(aItem.m_bytes);
    peers::FrameAccepted accepted;
    stub->Deliver(&context, frame, &accepted);
  }

private:
  std::map<base::Endpoint, std::unique_ptr<peers::PeerLink::Stub>> m_stubs;
};

LargeMessageSender::LargeMessageSender()
  : m_channels(std::make_unique<Channels>())
  , m_thread([this] { Run(); })
{
}

LargeMessageSender::~LargeMessageSender()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_thread.join();
}

void
LargeMessageSender::Send(const base::Endpoint& aTo, std::string aBytes)
{
  {
    const std::lock_guard lock(m_mutex);
    if (m_queue.size() >= kMaxQueued) {
      m_queue.pop_front();
    }
    m_queue.push_back({ aTo, std::move(aBytes) });
  }
  m_changed.notify_all();
}

void
LargeMessageSender::Run()
{
  std::unique_lock lock(m_mutex);
  while (true) {
    m_changed.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
    if (m_stopping) {
      return;
    }
    const Item item = std::move(m_queue.front());
    m_queue.pop_front();
    lock.unlock();
    m_channels->Deliver(item);
    lock.lock();
  }
}

} // namespace wasabiloom::daemon
