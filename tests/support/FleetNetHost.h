/// One host of a FleetNet; for its source file only.
#pragma once

#include "support/FleetNet.h"
#include "support/NoEvents.h"
#include "support/Problems.h"
#include "wasabiloom/fleet/MessageCodec.h"
#include "wasabiloom/registry/FactsCodec.h"

#include <utility>

namespace wasabiloom::tests {

/// Time until the registry begins to answer.
constexpr base::Duration kRegistryAnswer = std::chrono::milliseconds(4);

/// A host whose calls have failed for so long takes itself for cut off.
constexpr base::Duration kCutOffAfter = std::chrono::milliseconds(600);

/// A server's entry in the registry's answers, in bytes.
constexpr double kListedEntry = 400;

/// One host: a reader with its call under way, and its part in the fleet.
class FleetNet::Host final
  : public fleet::LocalFacts
  , public fleet::LocalLoad
  , private fleet::MembershipOutbox
  , private fleet::RelayOutbox
  , private fleet::SearchOutbox
  , private fleet::ProviderDirectoryOutbox
  , private fleet::LoadOutbox
{
public:
  Host(FleetNet& aNet, std::size_t aIndex, std::uint64_t aIncarnation)
    : m_net(aNet)
    , m_index(aIndex)
    , m_reader(Timing(), aIncarnation, m_cache, m_events)
    , m_roster({ aNet.AddressOf(aIndex),
                 Zone(),
                 aIncarnation,
                 fleet::MemberState::Alive,
                 aNet.CapacityOf(aIndex) },
               aIncarnation,
               *this)
    , m_reachability(aIncarnation, m_roster)
    , m_relay({}, aIncarnation, m_roster, *this, *this)
    , m_board(*this)
    , m_search(aIncarnation, m_roster, *this, *this)
    , m_loadTable(Zone())
    , m_loads(aNet.m_links.m_loadInterval, aIncarnation, m_roster, *this, *this)
    , m_startedAt(aNet.m_now)
  {
    std::vector<base::Ipv4Address> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, aNet.m_zones); ++i) {
      seeds.push_back(aNet.AddressOf(i));
    }
    m_roster.SetSeeds(seeds);
    m_search.SetSeedHosts(seeds);
    m_search.Begin(m_startedAt);
  }

  void Tick()
  {
    const base::Instant now = m_net.m_now;
    m_roster.Tick(now);
    m_reachability.Tick(now);
    FinishCall();
    m_relay.Tick(now);
    const bool isCutOff =
      m_reader.IsFailing() && now - m_reader.AnsweredAt() > kCutOffAfter;
    m_search.Tick(isCutOff, now);
    if (IsReady()) {
      m_board.OnFactsKnown(m_roster.Self(), now);
    }
    m_board.SetAwaitsConfiguration(HasListed() && !IsReady());
    m_board.Tick(now);
    m_loads.Tick(now);
    m_loadTable.SetSlots(m_net.m_slots);
    m_loadTable.Tick(now);
    BeginCall();
    NoteReady();
  }

  void OnBytes(const std::string& aBytes)
  {
    const auto message = ValueOf([&] { return fleet::DecodeMessage(aBytes); });
    const base::Ipv4Address from = message.m_sender.m_address;
    m_roster.OnMessage(message, m_net.m_now);
    m_reachability.OnMessage(message);
    if (const auto* update =
          std::get_if<fleet::RelayedUpdate>(&message.m_content)) {
      m_relay.OnRelayedUpdate(from, *update, m_net.m_now);
    } else if (const auto* providers =
                 std::get_if<fleet::Providers>(&message.m_content)) {
      m_search.OnProviders(*providers, m_net.m_now);
    } else if (std::holds_alternative<fleet::FactsWanted>(message.m_content)) {
      m_board.OnFactsWanted(message.m_sender, m_net.m_now);
    } else if (std::holds_alternative<fleet::FactsKnown>(message.m_content)) {
      m_board.OnFactsKnown(message.m_sender, m_net.m_now);
    } else if (std::holds_alternative<fleet::RegistrySilent>(
                 message.m_content)) {
      m_relay.OnRegistrySilent(from, m_net.m_now);
    } else if (const auto* report =
                 std::get_if<fleet::LoadReport>(&message.m_content)) {
      m_loads.OnReport(message.m_sender, *report, m_net.m_now);
    }
    NoteReady();
  }

  registry::UpdateOutcome OnPeerUpdate(const registry::RegistryUpdate& aUpdate,
                                       base::Instant aNow) override
  {
    return m_reader.OnPeerUpdate(aUpdate, aNow);
  }
  std::optional<registry::RegistryUpdate> UpdateSince(
    const registry::RegistryRevision& aRevision,
    base::Instant aNow) const override
  {
    return m_reader.UpdateSince(aRevision, aNow);
  }
  base::Instant AnsweredAt() const override { return m_reader.AnsweredAt(); }
  base::Instant LearnedAt() const override { return m_reader.LearnedAt(); }
  bool IsReady() const override
  {
    return m_cache.IsComplete() && m_reader.IsConfirmed();
  }
  registry::RegistryRevision Revision() const override
  {
    return m_reader.Revision();
  }
  registry::RegistryRevision PullFrom(base::Instant aNow) const override
  {
    return m_cache.PullFrom(aNow);
  }
  bool LacksKeptFacts(base::Instant aNow) const override
  {
    return m_cache.LacksKeptFacts(aNow);
  }
  void SetMaxUpdateAge(base::Duration aMaxUpdateAge, bool aStandsBy) override
  {
    m_reader.SetMaxUpdateAge(aMaxUpdateAge, aStandsBy);
  }
  bool HasListed() const override { return m_cache.HasCompleteListing(); }
  bool IsFailing() const override { return m_reader.IsFailing(); }
  void HoldListing(base::Instant aUntil) override
  {
    m_reader.DelayFirstListing(aUntil);
  }

  placing::HostLoad TakeLoad(base::Instant aNow) override
  {
    const base::Instant from = std::exchange(m_loadTakenAt, aNow);
    return m_net.m_loadOf ? m_net.m_loadOf(m_index, from, aNow)
                          : placing::HostLoad{};
  }
  void SetLiveHosts(placing::LiveHosts aLiveHosts) override
  {
    m_loadTable.SetLiveHosts(std::move(aLiveHosts));
  }
  bool MergeLoad(const placing::Reporter& aFrom,
                 const placing::HostLoad& aLoad,
                 const placing::LearnedLoad& aLearned,
                 base::Instant aNow) override
  {
    return m_loadTable.Merge(aFrom, aLoad, aLearned, aNow);
  }
  placing::LearnedLoad NewestLoad(std::size_t aZones,
                                  base::Instant aNow) const override
  {
    return m_loadTable.Newest(aZones, aNow);
  }

  const placing::LoadTable& GetLoadTable() const { return m_loadTable; }
  const fleet::LoadTotals& GetLoadTotals() const { return m_loads.Totals(); }
  const fleet::SwimMembership& GetRoster() const { return m_roster; }
  fleet::ZoneReachability& GetReachability() { return m_reachability; }
  bool IsReader() const { return m_relay.IsReader(); }
  std::uint64_t Version() const { return m_cache.CurrentGlobal().m_version; }
  std::uint64_t Incarnation() const { return m_roster.Self().m_incarnation; }

  std::optional<base::Duration> TimeToReady() const
  {
    if (!m_readyAt) {
      return std::nullopt;
    }
    return *m_readyAt - m_startedAt;
  }

  /// Takes in what was pulled.
  void OnPulled(const registry::RegistryUpdate& aUpdate)
  {
    OnPeerUpdate(aUpdate, m_net.m_now);
    m_relay.OnPullFinished(m_net.m_now);
    m_search.Tick(false, m_net.m_now);
    NoteReady();
  }

private:
  static registry::ReaderTiming Timing()
  {
    registry::ReaderTiming timing;
    timing.m_watchWait = std::chrono::milliseconds(800);
    timing.m_pauseAfterChanges = std::chrono::milliseconds(600);
    return timing;
  }

  std::string Zone() const
  {
    return "zone-" + std::to_string(m_index % m_net.m_zones);
  }

  void NoteReady()
  {
    if (!m_readyAt && IsReady()) {
      m_readyAt = m_net.m_now;
    }
  }

  void BeginCall()
  {
    const registry::ReaderCall call = m_reader.Next(m_net.m_now);
    if (call.m_kind == registry::ReaderCall::Kind::None) {
      return;
    }
    m_call = call;
    m_calledAt = m_net.m_now;
    ++m_net.m_calls;
    const bool isListing = call.m_kind == registry::ReaderCall::Kind::List;
    m_net.m_listings += isListing ? 1 : 0;
    m_answerAt = isListing && !IsUnanswered()
                   ? m_net.TransferAnswer(m_index, m_net.m_links.m_listing)
                   : m_net.m_now + kRegistryAnswer;
    m_changes.reset();
  }

  bool IsUnanswered() const
  {
    return m_net.m_silent && m_net.m_silent(m_index);
  }

  /// Lets the registry answer the call under way, if it does.
  void FinishCall()
  {
    if (!m_call || m_net.m_now < m_answerAt) {
      return;
    }
    const registry::ReaderCall call = *m_call;
    const base::Duration since = m_net.m_now - m_calledAt;
    if (IsUnanswered()) {
      if (m_net.m_refuses || since >= call.m_timeout) {
        m_call.reset();
        m_reader.OnFailure({ base::ResultCode::PlatformUnavailable, "late" },
                           m_net.m_now);
      }
      return;
    }
    const std::uint64_t after = call.m_revision.m_number;
    if (call.m_kind == registry::ReaderCall::Kind::List) {
      m_call.reset();
      registry::Page page{ m_net.FactsAfter(0), "", m_net.m_revision };
      registry::SetEpoch(m_net.m_epoch, page);
      m_reader.OnPage(page, m_net.m_now);
    } else if (after < m_net.m_historyFrom || after > m_net.m_revision) {
      m_call.reset();
      m_reader.OnFailure(
        { base::ResultCode::HistoryGone, "dropped", m_net.m_epoch },
        m_net.m_now);
    } else if (m_changes) {
      m_call.reset();
      m_reader.OnChanges(*m_changes, m_net.m_now);
    } else if (m_net.m_revision > after || since >= call.m_wait) {
      SendChanges(after);
    }
  }

  /// The registry answers a watch; the answer takes its time.
  void SendChanges(std::uint64_t aAfter)
  {
    m_changes = registry::Changes{ m_net.FactsAfter(aAfter), m_net.m_revision };
    registry::SetEpoch(m_net.m_epoch, *m_changes);
    const double bytes =
      kListedEntry * static_cast<double>(m_changes->m_facts.size());
    m_answerAt = m_net.TransferAnswer(m_index, bytes);
  }

  void SendTo(base::Ipv4Address aTo, const fleet::Message& aMessage) override
  {
    m_net.Send(m_index, aTo, fleet::EncodeMessage(aMessage));
  }
  void OnMemberState(const fleet::Member& aMember) override
  {
    if (aMember.m_state == fleet::MemberState::Gone) {
      m_net.NoteGone(aMember);
    }
  }
  void SendContent(base::Ipv4Address aTo,
                   const fleet::Content& aContent) override
  {
    SendTo(aTo, m_roster.Compose(aContent));
  }
  void SendUpdates(const std::vector<fleet::RelayCopy>& aCopies) override
  {
    fleet::Message message = m_roster.Compose(fleet::MemberList{});
    for (const fleet::RelayCopy& copy : aCopies) {
      message.m_content = copy.m_update;
      SendTo(copy.m_to, message);
    }
  }
  void SendRegistrySilent(const std::vector<base::Ipv4Address>& aTo) override
  {
    for (const base::Ipv4Address to : aTo) {
      SendContent(to, fleet::RegistrySilent{});
    }
  }
  void SendProviders(base::Ipv4Address aTo,
                     const fleet::Providers& aProviders) override
  {
    SendContent(aTo, aProviders);
  }
  void SendLoad(base::Ipv4Address aTo, const fleet::Message& aMessage) override
  {
    SendTo(aTo, aMessage);
  }
  void PullInitialFacts(base::Ipv4Address aFrom,
                        const registry::RegistryRevision& aRevision) override
  {
    Pull(aFrom, aRevision);
  }

  void Pull(base::Ipv4Address aFrom,
            const registry::RegistryRevision& aRevision) override
  {
    ++m_net.m_pulls;
    const std::size_t from = aFrom.m_bits - 1;
    if (m_net.IsLost(m_index, from)) {
      return;
    }
    FleetNet& net = m_net;
    const std::size_t to = m_index;
    const std::uint64_t incarnation = Incarnation();
    net.Later(net.m_now + net.Delay(to, from), [=, &net] {
      if (net.IsUp(from)) {
        net.m_hosts[from]->TellPulled(to, incarnation, aRevision);
      }
    });
  }

  /// Answers a pull of the host `aTo`.
  void TellPulled(std::size_t aTo,
                  std::uint64_t aIncarnation,
                  const registry::RegistryRevision& aRevision)
  {
    const auto update = UpdateSince(aRevision, m_net.m_now);
    if (!update || m_net.IsLost(m_index, aTo)) {
      return;
    }
    const double bytes =
      update->m_fromRevision == 0 && m_net.m_links.m_packed > 0
        ? m_net.m_links.m_packed
        : static_cast<double>(registry::EncodeUpdate(*update).size());
    FleetNet& net = m_net;
    net.Later(net.Transfer(m_index, aTo, bytes), [=, &net] {
      if (net.IsUp(aTo) && net.m_hosts[aTo]->Incarnation() == aIncarnation) {
        net.m_hosts[aTo]->OnPulled(*update);
      }
    });
  }

  FleetNet& m_net;
  std::size_t m_index;
  registry::RegistryCache m_cache;
  NoEvents m_events;
  registry::Reader m_reader;
  fleet::SwimMembership m_roster;
  fleet::ZoneReachability m_reachability;
  fleet::FactRelay m_relay;
  fleet::ProviderDirectory m_board;
  fleet::ProviderSearch m_search;
  placing::LoadTable m_loadTable;
  fleet::LoadExchange m_loads;
  base::Instant m_loadTakenAt;
  base::Instant m_startedAt;
  std::optional<base::Instant> m_readyAt;
  std::optional<registry::ReaderCall> m_call;
  base::Instant m_calledAt;
  base::Instant m_answerAt;
  /// What is on its way from the registry.
  std::optional<registry::Changes> m_changes;
};

} // namespace wasabiloom::tests
