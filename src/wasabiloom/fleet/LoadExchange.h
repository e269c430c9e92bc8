/// Sends this host's load reports and takes in those of others. Load problem
/// addressed: no host sees more than its own part of the requests.
#pragma once

#include "wasabiloom/base/TokenBucket.h"
#include "wasabiloom/fleet/LocalLoad.h"
#include "wasabiloom/fleet/SwimMembership.h"

#include <random>
#include <vector>

namespace wasabiloom::fleet {

/// Bytes per second that a host's reports may take in the long run, headers
/// included. LOAD.md allows 700; the difference covers the burst.
constexpr std::int64_t kLoadBytesPerSecond = 660;

/// Bytes of the IP and UDP headers of a datagram.
constexpr std::size_t kHeaderBytes = 28;

/// A report is sent to up to kMaxReceivers hosts, as far as the bytes that have
/// accrued allow. Each is sent once the bytes that it needs have accrued: a
/// whole report, or a short one without estimates of zones and without samples
/// of servers that respond. Every second report is short, because the load of a
/// zone is known the better the more reports its hosts hear.
constexpr std::size_t kMaxReceivers = 2;
constexpr std::int64_t kWholeReportBytes = 180;
constexpr std::int64_t kShortReportBytes = 100;
constexpr std::int64_t kLoadBurstBytes = 480;

/// One in this many reports goes to another zone; the others stay in the zone,
/// because traffic between zones is charged for.
constexpr std::uint32_t kReportsPerFarReport = 4;

/// Numbers of reports above this are not taken over from other hosts, so that a
/// wrong one can't make the numbers wrap around.
constexpr std::uint32_t kMaxAdoptedSequence = 1U << 31U;

/// Upper limit on the estimates of zones in a report; it is shortened until it
/// fits.
constexpr std::size_t kMaxReportedZones = 24;

/// A longer interval between two ticks means that this process was paused. What
/// it observed before is discarded.
constexpr base::Duration kExchangePause = std::chrono::seconds(1);

/// Sends the messages of the exchange.
class LoadOutbox
{
public:
  virtual ~LoadOutbox();

  virtual void SendLoad(base::Ipv4Address aTo, const Message& aMessage) = 0;
};

/// Counts of an exchange.
struct LoadTotals
{
  std::uint64_t m_sent = 0;
  /// Bytes sent, headers included.
  std::uint64_t m_sentBytes = 0;
  std::uint64_t m_received = 0;
  /// Reports that were not newer than the known one, or not valid.
  std::uint64_t m_ignored = 0;

  friend auto operator<=>(const LoadTotals&, const LoadTotals&) = default;
};

/// Decides when this host reports, to whom, and what the report holds.
///
/// Receivers in the own zone are drawn by the number of the report, in a way on
/// which all hosts of the zone agree: with equal numbers, each host receives
/// one report. With independent draws, one host in fifty would hear nothing for
/// over a second at any time. Hosts therefore keep their numbers close
/// together. Deterministic: equal inputs give equal outputs. Not thread safe.
class LoadExchange final
{
public:
  /// `aInterval`: time between two reports; zero sends none. The references
  /// must outlive this object.
  LoadExchange(base::Duration aInterval,
               std::uint64_t aSeed,
               const SwimMembership& aMembership,
               LocalLoad& aLoad,
               LoadOutbox& aOutbox);

  /// Sends the report that is due, if any. Call it several times per interval.
  void Tick(base::Instant aNow);

  /// Handles a report of another host. Reports are ignored while this host
  /// sends none.
  void OnReport(const Member& aSender,
                const LoadReport& aReport,
                base::Instant aNow);

  const LoadTotals& Totals() const { return m_totals; }

private:
  void UpdateLiveHosts();
  void SendReports(const placing::HostLoad& aLoad,
                   const placing::LearnedLoad& aLearned);
  /// Whether the bytes that report `aNumber` needs have accrued.
  bool CanSend(std::uint32_t aNumber) const;
  /// Returns the receiver of report `aNumber`; empty if there is no other host.
  std::optional<base::Ipv4Address> ReceiverOf(std::uint32_t aNumber) const;
  std::optional<base::Ipv4Address> DrawInZone(std::uint32_t aNumber) const;
  std::optional<base::Ipv4Address> DrawInOtherZone(std::uint32_t aNumber) const;
  /// The hosts of the own zone, this host included, in ascending order.
  std::vector<base::Ipv4Address> HostsOfZone() const;
  std::size_t OwnPlace(const std::vector<base::Ipv4Address>& aHosts) const;
  /// Returns a report of at most the bytes that have accrued, headers included.
  Message Compose(const placing::HostLoad& aLoad,
                  const placing::LearnedLoad& aLearned,
                  bool aOwnZone,
                  bool aWhole) const;

  base::Duration m_interval;
  std::mt19937_64 m_random;
  const SwimMembership& m_membership;
  LocalLoad& m_load;
  LoadOutbox& m_outbox;
  base::TokenBucket m_allowance;
  LoadTotals m_totals;
  std::uint32_t m_sequence = 0;
  base::Instant m_tickedAt;
  base::Instant m_dueAt;
};

} // namespace wasabiloom::fleet
