/// The entry hosts of a scenario, the fabric before them and the links
/// between them.
#pragma once

#include "EventQueue.h"
#include "FlowTrace.h"
#include "HostUnderTest.h"
#include "Links.h"
#include "Measures.h"
#include "Site.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wasabiloom::scenario {

/// Kinds of packets of one flow; a packet's tag is its flow's number times
/// this, plus its kind.
constexpr std::int64_t kTagKinds = 4;

/// A packet on its way, with the number its sender knows it by.
struct TravellingPacket
{
  std::shared_ptr<const std::vector<std::byte>> m_bytes;
  std::int64_t m_tag = 0;
};

/// Hears what becomes of packets and datagrams.
class FleetListener
{
public:
  virtual ~FleetListener();

  /// A host sent the packet to a backend server.
  virtual void OnForwarded(const TravellingPacket& aPacket,
                           const base::Endpoint& aTo,
                           const std::string& aHost) = 0;

  /// The packet will never arrive.
  virtual void OnLost(const TravellingPacket& aPacket,
                      const std::string& aWhy) = 0;

  /// A host sent a request to a backend server.
  virtual void OnBackendDatagram(const base::Endpoint& aTo,
                                 const request::Envelope& aEnvelope,
                                 int aHost) = 0;

  /// A host asks a backend server how it is; the answer goes to
  /// Fleet::SendReport.
  virtual void OnProbe(const steering::ServiceId& aService,
                       const steering::TargetId& aTarget,
                       const base::Endpoint& aStatus,
                       int aHost) = 0;

  /// A host sent a datagram to a caller.
  virtual void OnCallerDatagram(const packet::FlowKey& aFlow,
                                const request::Envelope& aEnvelope) = 0;
};

/// Hosts with their faults. One thread at a time.
class Fleet
{
public:
  /// The references must outlive the fleet.
  Fleet(const Script& aScript,
        Policy aPolicy,
        const Site& aSite,
        EventQueue& aQueue,
        Measures& aMeasures,
        std::uint64_t aSeed);
  ~Fleet();

  /// Sets who hears of packets. Call before the first packet.
  void SetListener(FleetListener& aListener) { m_listener = &aListener; }

  /// The trace of one flow.
  FlowTrace& Trace() { return m_trace; }

  /// Hands a packet to a random host that the fabric believes live.
  void Spray(const TravellingPacket& aPacket);

  /// Hands a backend server's datagram to the host that asked.
  void SendToHost(int aHost, const request::Envelope& aEnvelope);

  /// Hands a backend server's report to the host that asked.
  void SendReport(int aHost,
                  const steering::ServiceId& aService,
                  const health::TargetReport& aReport);

  /// Publishes the site's bundle, to reach each host after its lag.
  void PublishBundle();

  /// Publishes the site's host list likewise.
  void PublishList();

  /// Starts a host, new or again. Index from 0.
  void Start(int aHost);
  void Kill(int aHost);
  void Stop(int aHost);
  void Pause(int aHost, base::Duration aLength);
  void SetLag(int aHost, base::Duration aLag);

  /// The links between the hosts.
  Links& GetLinks() { return m_links; }

  /// Share of packets that the fabric delivers twice.
  void SetDuplication(double aShare) { m_duplication = aShare; }

  /// Whether the platform answers hosts.
  void SetPlatformUp(bool aUp);

  /// Whether every running host is ready.
  bool IsSettled() const;
  int Size() const { return static_cast<int>(m_hosts.size()); }
  const std::string& ZoneOf(int aHost) const;

  /// Adds the measures of control traffic.
  void Summarize();

private:
  class Host;

  void SprayOnce(const TravellingPacket& aPacket);
  void DeliverPacket(int aHost,
                     const TravellingPacket& aPacket,
                     base::HostId aFrom);
  void HandlePacket(int aHost,
                    const TravellingPacket& aPacket,
                    base::HostId aFrom);
  void SendPeer(int aFrom,
                const base::Endpoint& aTo,
                const peer::Datagram& aDatagram);
  void Run(int aHost, const EventQueue::Action& aAction);
  void TickLater(int aHost);
  int HostAt(const base::Ipv4Address& aAddress) const;
  base::Duration CallerDelay();
  void DeliverLater(int aHost, const EventQueue::Action& aAction);
  void DeliverBundle(int aHost);
  void DeliverList(int aHost);

  const Script& m_script;
  Policy m_policy;
  const Site& m_site;
  EventQueue& m_queue;
  Measures& m_measures;
  FleetListener* m_listener = nullptr;
  std::mt19937_64 m_random;
  Links m_links;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::vector<int> m_fabric;
  bool m_platformUp = true;
  double m_duplication = 0;
  std::uint64_t m_incarnation = 0;
  FlowTrace m_trace;
};

} // namespace wasabiloom::scenario
