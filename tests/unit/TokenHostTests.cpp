#include "support/CallerPacket.h"
#include "support/Registry.h"
#include "support/Section.h"
#include "wasabiloom/placing/ServiceChoice.h"
#include "wasabiloom/token/TokenHost.h"

#include <gtest/gtest.h>

#include <cstring>

namespace wasabiloom::tests {

using namespace token;
using base::Endpoint;
using placing::ChooseService;
using registry::FactKind;
using registry::MakeToken;

namespace {

constexpr std::uint16_t kReturnPort = 8172;
/// Records what a host sends and logs.
class Recorder final : public TokenEffects
{
public:
  void Send(const Endpoint& aTo, std::span<const std::byte> aBytes) override
  {
    m_to.push_back(aTo);
    m_bytes.assign(aBytes.begin(), aBytes.end());
  }
  void LogDecision(const Decision& aDecision) override
  {
    m_reason = aDecision.m_reason;
    ++m_lines;
  }
  void LogStateChange(std::string_view /*aWhat*/,
                      const std::string& /*aDetail*/) override
  {
  }
  void LogDetail(std::string_view /*aWhat*/,
                 const std::string& /*aDetail*/) override
  {
  }
  bool LogsDetails() const override { return false; }

  std::vector<Endpoint> m_to;
  std::vector<std::byte> m_bytes;
  Reason m_reason = Reason::Malformed;
  int m_lines = 0;
};

class TokenHostTest : public testing::Test
{
protected:
  TokenHostTest() { m_host.NextCall(At(0)); }

  /// Answers the listing of the host with `aServers` and configuration 1.
  void Learn(const std::vector<registry::Server>& aServers)
  {
    registry::Page page{ { ConfigurationFact(1, 1) }, "", 10 };
    for (const auto& server : aServers) {
      page.m_facts.push_back(ServerFact(server, 5));
    }
    m_host.OnListAnswer(page, At(0));
    m_host.NextCall(At(0));
    m_host.OnWatchAnswer(registry::Changes{ {}, 10 }, At(0));
    m_host.NextCall(At(0));
  }

  /// Answers the watch of the host with `aFacts` at `aSeconds`, at the revision
  /// of the latest of them.
  void Change(const std::vector<registry::Fact>& aFacts, double aSeconds)
  {
    for (const registry::Fact& fact : aFacts) {
      m_revision = std::max(m_revision, fact.m_revision.m_number);
    }
    m_host.OnWatchAnswer(registry::Changes{ aFacts, m_revision }, At(aSeconds));
    m_host.NextCall(At(aSeconds + 1));
  }

  /// Calls the host's timer every 50 ms up to `aSeconds`.
  void RunUntil(double aSeconds)
  {
    for (; m_now < aSeconds; m_now += 0.05) {
      m_host.OnTick(At(m_now));
    }
  }

  /// Passes a packet to the host. Returns the endpoint that the host sent to,
  /// or an empty string if it sent nothing.
  std::string Give(const Sent& aSent, double aSeconds)
  {
    RunUntil(aSeconds);
    const std::size_t before = m_effects.m_to.size();
    m_host.OnPacket(Write(aSent), At(aSeconds));
    return m_effects.m_to.size() == before ? ""
                                           : ToString(m_effects.m_to.back());
  }

  bool GotReset() const
  {
    return m_effects.m_bytes.size() == platform::kHeadBytes &&
           m_effects.m_bytes[12] == std::byte{ 4 };
  }

  platform::DatagramCodec m_codec;
  Recorder m_effects;
  registry::ReaderTiming m_timing;
  TokenHost m_host{ { "h", "a", kReturnPort, std::chrono::seconds(4) },
                    m_timing,
                    1,
                    m_codec,
                    m_effects };
  std::uint64_t m_revision = 10;
  double m_now = 0;
};

const std::string kServer1 = "10.128.0.1:8080";
const std::string kServer2 = "10.128.0.2:8080";
const std::string kCaller = "100.64.0.7:8172";

Sent
Data(const std::string& aServer, std::uint64_t aBorn = 1)
{
  Sent sent;
  sent.m_flags = kAck;
  sent.m_token = MakeToken(aServer, aBorn);
  sent.m_sequence = 2;
  sent.m_acknowledged = 9;
  sent.m_length = 10;
  return sent;
}

} // namespace

TEST_F(TokenHostTest, HoldsPacketsUntilTheRegistryIsListed)
{
  EXPECT_EQ(Give({}, 0), "");
  EXPECT_EQ(m_effects.m_reason, Reason::NotLearnedYet);
  Learn({ MakeServer("i-1") });
  ASSERT_EQ(m_effects.m_to.size(), 1U);
  EXPECT_EQ(ToString(m_effects.m_to[0]), kServer1);

  Section("the number of held packets is limited", [&] {
    TokenHost other(
      { "h", "a", kReturnPort, {} }, m_timing, 1, m_codec, m_effects);
    for (std::size_t i = 0; i < 2 * kMaxHeld; ++i) {
      other.OnPacket(Write({}), At(0));
    }
    EXPECT_EQ(other.GetTotals().m_held, kMaxHeld);
    EXPECT_EQ(other.GetTotals().m_dropped, kMaxHeld);
  });
}

TEST_F(TokenHostTest, DeliversPacketsOfUnknownFlowsByToken)
{
  Learn({ MakeServer("i-1"), MakeServer("i-2") });
  EXPECT_EQ(Give(Data("i-1"), 1), kServer1);
  EXPECT_EQ(Give(Data("i-2"), 1), kServer2);

  Section("packets reach servers that lapsed, drain or have their zone out of "
          "service",
          [&] {
            auto leaving = MakeServer("i-1");
            leaving.m_state = registry::ServerState::Draining;
            Change({ RemovedFact(FactKind::Server, "i-2", 20),
                     ServerFact(leaving, 21),
                     ZoneOutFact("a", 22) },
                   2);
            EXPECT_EQ(Give(Data("i-1"), 3), kServer1);
            EXPECT_EQ(Give(Data("i-2"), 3), kServer2);
          });
}

TEST_F(TokenHostTest, NamesTheServerSoThatNoOtherAcceptsThePacket)
{
  Learn({ MakeServer("i-7f3a") });
  Give({}, 1);
  ASSERT_GT(m_effects.m_bytes.size(), 12U);
  EXPECT_EQ(m_effects.m_bytes[6], std::byte{ 0x7f });
  EXPECT_EQ(m_effects.m_bytes[7], std::byte{ 0x3a });
  std::uint32_t token = 0;
  std::memcpy(&token, m_effects.m_bytes.data() + 8, sizeof(token));
  EXPECT_EQ(token, MakeToken("i-7f3a", 1));
}

TEST_F(TokenHostTest, PlacesNoNewFlowOnServersOutOfService)
{
  Learn({ MakeServer("i-1", "a"), MakeServer("i-2", "b") });
  EXPECT_EQ(Give({}, 1), kServer1);

  Section("a draining server receives no new flow", [&] {
    auto leaving = MakeServer("i-1", "a");
    leaving.m_state = registry::ServerState::Draining;
    Change({ ServerFact(leaving, 20) }, 2);
    Sent open;
    open.m_callerPort = 40002;
    EXPECT_EQ(Give(open, 2.1), kServer2);
  });
  Section("a zone that is out of service receives no new flow", [&] {
    Change({ ZoneOutFact("b", 21) }, 4);
    Sent open;
    open.m_callerPort = 40003;
    EXPECT_EQ(Give(open, 4.1), kCaller);
    EXPECT_TRUE(GotReset());
    EXPECT_EQ(m_effects.m_reason, Reason::NoServer);
  });
  Section("the zone receives new flows once it is back in service", [&] {
    Change({ RemovedFact(FactKind::ZoneOut, "b", 22) }, 6);
    Sent open;
    open.m_callerPort = 40004;
    EXPECT_EQ(Give(open, 6.1), kServer2);
  });
}

TEST_F(TokenHostTest, PlacesARetransmittedOpeningPacketOnAnotherServer)
{
  Learn({ MakeServer("i-1"), MakeServer("i-2") });
  const std::string first = Give({}, 1);

  Section("a duplicate made by the network goes to the same server",
          [&] { EXPECT_EQ(Give({}, 1.01), first); });
  Section(
    "a retransmission goes to another server, which new flows then prefer",
    [&] {
      Sent copy;
      copy.m_acknowledged = 1;
      const std::string second = Give(copy, 1.2);
      EXPECT_NE(second, first);
      EXPECT_EQ(m_effects.m_reason, Reason::PlacedAgain);
      for (std::uint16_t port = 50000; port < 50005; ++port) {
        Sent open;
        open.m_callerPort = port;
        EXPECT_EQ(Give(open, 1.3), second);
      }
    });
}

TEST_F(TokenHostTest, IgnoresARetransmittedOpeningPacketThatWasDelayed)
{
  Learn({ MakeServer("i-1"), MakeServer("i-2") });
  const std::string first = Give({}, 1);
  Sent copy;
  copy.m_acknowledged = 1;
  EXPECT_EQ(Give(copy, 1.001), first)
    << "both packets arrive together, as after a pause of this host";
}

TEST_F(TokenHostTest, IgnoresRetransmittedDataThatWasDelayed)
{
  Learn({ MakeServer("i-1") });
  const auto repeat = [&](double aAfter) {
    for (std::uint16_t port = 41000; port < 41004; ++port) {
      Sent data = Data("i-1");
      data.m_callerPort = port;
      Give(data, 1);
      Give(data, 1 + aAfter);
    }
    Sent open;
    Give(open, 1 + aAfter);
    return m_effects.m_reason;
  };
  EXPECT_EQ(repeat(0.001), Reason::PlacedLeastLoad);
}

TEST_F(TokenHostTest, AvoidsAZoneThatSendsNoResponses)
{
  // The host's zone has no server, so new flows go to zones b and c.
  std::vector<registry::Server> servers;
  for (const char* id : { "i-1", "i-2", "i-3", "i-4" }) {
    servers.push_back(MakeServer(id, "b"));
  }
  servers.push_back(MakeServer("i-9", "c"));
  servers.back().m_slots = 1;
  Learn(servers);

  // Zone b is unreachable, so opening packets sent to it get no response.
  const std::string reachable = "10.128.0.9:8080";
  int tries = 0;
  for (std::uint16_t port = 41000; port < 41020; ++port) {
    Sent open;
    open.m_callerPort = port;
    const bool isAnswered = Give(open, 1) == reachable;
    tries += isAnswered ? 0 : 1;
    open.m_acknowledged = 1;
    if (!isAnswered) {
      Give(open, 1.2);
    }
  }
  EXPECT_LE(tries, 3);

  Section("the zone is tried again later", [&] {
    bool isBack = false;
    for (std::uint16_t port = 42000; port < 42040; ++port) {
      Sent open;
      open.m_callerPort = port;
      isBack = isBack || Give(open, 9) != reachable;
    }
    EXPECT_TRUE(isBack);
  });
}

TEST_F(TokenHostTest, DependsOnOtherZonesWithoutAUsableServerInItsOwn)
{
  Learn({ MakeServer("i-1"), MakeServer("i-2", "b") });
  EXPECT_FALSE(m_host.DependsOnOtherZones(At(0)));

  Section("a cold server is not usable", [&] {
    auto cold = MakeServer("i-1", "a", 2);
    cold.m_coldRemaining = std::chrono::seconds(2);
    Change({ ServerFact(cold, 20) }, 1);
    EXPECT_TRUE(m_host.DependsOnOtherZones(At(1.1)));
    EXPECT_FALSE(m_host.DependsOnOtherZones(At(3.1)));
  });
  Section("a server of a zone that is out of service is not usable", [&] {
    Change({ ZoneOutFact("a", 21) }, 4);
    EXPECT_TRUE(m_host.DependsOnOtherZones(At(4.1)));
  });
  Section("such a host stops serving when other zones are silent, and still "
          "forwards packets",
          [&] {
            m_host.UpdateServing(std::chrono::milliseconds(100), At(4.1));
            EXPECT_TRUE(m_host.CanServe());
            m_host.UpdateServing(std::chrono::milliseconds(900), At(5));
            EXPECT_FALSE(m_host.CanServe());
            EXPECT_EQ(Give(Data("i-2"), 5), kServer2);
            m_host.UpdateServing(std::chrono::milliseconds(0), At(5.1));
            EXPECT_TRUE(m_host.CanServe());
          });
}

TEST_F(TokenHostTest, ResetsFlowsWithoutARoute)
{
  Learn({ MakeServer("i-1") });
  Sent open;
  open.m_port = 444;
  EXPECT_EQ(Give(open, 1), kCaller);
  EXPECT_TRUE(GotReset());
  EXPECT_EQ(m_effects.m_reason, Reason::NoRoute);

  Section("an open flow is reset once its route is removed", [&] {
    Sent data = Data("i-1");
    data.m_port = 444;
    EXPECT_EQ(Give(data, 1), kCaller);
    EXPECT_EQ(m_effects.m_reason, Reason::RouteDropped);
  });
  Section("a reset is not answered with a reset", [&] {
    Sent reset = Data("i-1");
    reset.m_flags = 4;
    reset.m_port = 444;
    EXPECT_EQ(Give(reset, 1), "");
  });
}

TEST_F(TokenHostTest, DropsPacketsWhileTheirTokenIsUnknown)
{
  Learn({ MakeServer("i-1") });
  EXPECT_EQ(Give(Data("i-9"), 1), "");
  EXPECT_EQ(m_effects.m_reason, Reason::TokenUnknown);
  EXPECT_EQ(m_effects.m_lines, 1);
  EXPECT_EQ(Give(Data("i-9"), 1.2), "");
  EXPECT_EQ(m_effects.m_lines, 1) << "one log line per flow";

  Section("packets are delivered once the server is known", [&] {
    Change({ ServerFact(MakeServer("i-9"), 20) }, 1.4);
    EXPECT_EQ(Give(Data("i-9"), 1.6), "10.128.0.9:8080");
  });
  Section("the flow is reset if the token stays unknown", [&] {
    Sent data = Data("i-8");
    data.m_callerPort = 40009;
    EXPECT_EQ(Give(data, 2), "");
    EXPECT_EQ(Give(data, 4), "");
    Change({}, 4.5);
    EXPECT_EQ(Give(data, 5.2), kCaller);
    EXPECT_TRUE(GotReset());
  });
}

TEST_F(TokenHostTest, ResetsFlowsOnlyOfServersThatAreGoneAndSilent)
{
  Learn({ MakeServer("i-1"), MakeServer("i-2") });
  EXPECT_EQ(Give(Data("i-1"), 1), kServer1);
  Change({ RemovedFact(FactKind::Server, "i-1", 20) }, 2);

  Section("the flow stays open while the entry may come back",
          [&] { EXPECT_EQ(Give(Data("i-1"), 4), kServer1); });
  Section("the flow stays open while callers receive responses", [&] {
    Sent progress = Data("i-1");
    progress.m_acknowledged = 20;
    EXPECT_EQ(Give(progress, 4.4), kServer1);
    EXPECT_EQ(Give(Data("i-1"), 6), kServer1);
  });
  Section("the flow is reset afterwards", [&] {
    EXPECT_EQ(Give(Data("i-1"), 9), kCaller);
    EXPECT_TRUE(GotReset());
    EXPECT_EQ(m_effects.m_reason, Reason::ServerGone);
  });
}

TEST_F(TokenHostTest, ResetsFlowsOfALapsedServerOnlyIfCallersGetNoResponses)
{
  Learn({ MakeServer("i-1"), MakeServer("i-2") });
  const std::string placed = Give({}, 1);
  const std::string dark = placed == kServer1 ? "i-1" : "i-2";
  EXPECT_EQ(Give(Data(dark), 1.1), placed);
  Change({ RemovedFact(FactKind::Server, dark, 20) }, 4);

  Section("a lapsed entry alone does not reset the flow",
          [&] { EXPECT_EQ(Give(Data(dark), 4.1), placed); });
  Section("a lapsed entry and retransmissions reset the flow", [&] {
    Sent other = Data(dark);
    other.m_callerPort = 40002;
    EXPECT_EQ(Give(other, 4.2), placed)
      << "opened on another host, may not be a retransmission";
    EXPECT_EQ(Give(other, 4.4), kCaller);
    EXPECT_EQ(m_effects.m_reason, Reason::ServerGone);
    EXPECT_EQ(Give(Data(dark), 4.5), kCaller);
  });
}

TEST_F(TokenHostTest, CountsNoRetransmissionAsAResponse)
{
  Learn({ MakeServer("i-1"), MakeServer("i-2") });
  const std::string placed = Give({}, 1);
  const std::string dark = placed == kServer1 ? "i-1" : "i-2";
  Sent copy;
  copy.m_acknowledged = 1;
  const std::string elsewhere = Give(copy, 1.2);
  EXPECT_NE(elsewhere, placed);

  // The first packet of a flow opened on another host may be a retransmission.
  Sent adopted = Data(dark);
  adopted.m_callerPort = 40002;
  EXPECT_EQ(Give(adopted, 1.3), placed);
  Sent open;
  open.m_callerPort = 40003;
  EXPECT_EQ(Give(open, 1.4), elsewhere) << "the first server is still suspect";

  Section("new data acknowledged on the flow counts as a response", [&] {
    adopted.m_acknowledged = 30;
    EXPECT_EQ(Give(adopted, 1.5), placed);
    adopted.m_sequence = 12;
    bool isBack = false;
    for (std::uint16_t port = 41000; port < 41020; ++port) {
      open.m_callerPort = port;
      isBack = isBack || Give(open, 1.6) == placed;
    }
    EXPECT_TRUE(isBack);
  });
}

TEST_F(TokenHostTest, DeliversFlowsFromBeforeARestartToTheRestartedServer)
{
  Learn({ MakeServer("i-1", "a", 100) });
  EXPECT_EQ(Give(Data("i-1", 100), 1), kServer1);
  Change({ ServerFact(MakeServer("i-1", "a", 200), 20) }, 2);
  EXPECT_EQ(Give(Data("i-1", 100), 3), kServer1);
  Sent open;
  open.m_callerPort = 40002;
  Give(open, 3);
  std::uint32_t token = 0;
  std::memcpy(&token, m_effects.m_bytes.data() + 8, sizeof(token));
  EXPECT_EQ(token, MakeToken("i-1", 200));
}

TEST_F(TokenHostTest, DropsOpenFlowsOfAZoneOutOfServiceAfterTheGracePeriod)
{
  Learn({ MakeServer("i-1") });
  Change({ ZoneOutFact("a", 20) }, 1);
  EXPECT_EQ(Give(Data("i-1"), 4.9), kServer1);
  EXPECT_EQ(Give(Data("i-1"), 5.1), "");
  EXPECT_EQ(m_effects.m_reason, Reason::ZoneOut);
}

TEST_F(TokenHostTest, HoldsNewFlowsAfterAPauseUntilRegistryUpdatesArrive)
{
  Learn({ MakeServer("i-1"), MakeServer("i-2", "b") });
  RunUntil(1);
  m_now = 5;
  const std::size_t before = m_effects.m_to.size();
  m_host.OnPacket(Write({}), At(5));
  EXPECT_EQ(m_effects.m_to.size(), before);

  Section("packets of open flows are delivered at once",
          [&] { EXPECT_EQ(Give(Data("i-1"), 5.05), kServer1); });
  Section("new flows are placed by the updated registry state", [&] {
    Change({ ZoneOutFact("a", 20) }, 5.1);
    EXPECT_EQ(ToString(m_effects.m_to.back()), kServer2);
  });
  Section("new flows are held for a limited time without an update", [&] {
    m_now = 8;
    Sent open;
    open.m_callerPort = 40002;
    m_host.OnPacket(Write(open), At(8));
    const std::size_t held = m_effects.m_to.size();
    RunUntil(8.6);
    EXPECT_EQ(m_effects.m_to.size(), held + 1);
  });
}

TEST_F(TokenHostTest, CountsMalformedPacketsAndStillDeliversOthers)
{
  Learn({ MakeServer("i-1") });
  const std::vector<std::byte> junk(20, std::byte{ 1 });
  for (int i = 0; i < 1000; ++i) {
    m_host.OnPacket(junk, At(1));
  }
  EXPECT_EQ(m_host.GetTotals().m_malformed, 1000U);
  EXPECT_EQ(m_effects.m_lines, 0);
  EXPECT_EQ(Give(Data("i-1"), 1), kServer1);
}

TEST_F(TokenHostTest, RemovesClosedFlows)
{
  Learn({ MakeServer("i-1") });
  Give({}, 1);
  Give(Data("i-1"), 1);
  EXPECT_EQ(m_host.FlowCount(), 1U);
  Sent end = Data("i-1");
  end.m_flags = kAck | kFin;
  Give(end, 1.1);
  EXPECT_EQ(m_host.FlowCount(), 0U);

  Section("idle flows are removed as well", [&] {
    Give(Data("i-1"), 2);
    RunUntil(8);
    EXPECT_EQ(m_host.FlowCount(), 0U);
  });
}

TEST_F(TokenHostTest, ReportsItsRequestsAveragedOverTime)
{
  Learn({ MakeServer("i-1") });
  m_host.TakeLoad(At(1));
  const auto requests = [&](double aSeconds) {
    const auto load = m_host.TakeLoad(At(aSeconds)).m_requests;
    return load.size() == 1 ? load.front().m_requests : 0;
  };
  Section("a request counts for the time that it was in progress", [&] {
    Give({}, 1.3);
    EXPECT_NEAR(requests(1.4), 0.25, 1e-6);
    EXPECT_NEAR(requests(1.5), 1, 1e-6);
  });
  Section("also if it began and ended between two reports", [&] {
    Sent end = Data("i-1");
    end.m_flags = kAck | kFin;
    Give(end, 1.55);
    EXPECT_NEAR(requests(1.7), 0.25, 1e-6);
    EXPECT_TRUE(m_host.TakeLoad(At(1.8)).m_requests.empty());
  });
  Section("requests at a server that is draining are not reported", [&] {
    Give({}, 2);
    registry::Server server = MakeServer("i-1");
    server.m_state = registry::ServerState::Draining;
    Change({ ServerFact(server, 11) }, 2.1);
    EXPECT_TRUE(m_host.TakeLoad(At(2.2)).m_requests.empty());
  });
}

TEST_F(TokenHostTest, ReportsServersThatAnswerAndThoseThatDoNot)
{
  Learn({ MakeServer("i-1") });
  m_host.TakeLoad(At(1));
  Give({}, 1);
  Sent copy;
  copy.m_acknowledged = 1;
  Give(copy, 1.3);
  Section("an opening packet was sent again", [&] {
    const auto servers = m_host.TakeLoad(At(1.4)).m_servers;
    ASSERT_EQ(servers.size(), 1U);
    EXPECT_EQ(servers.front().m_token, MakeToken("i-1", 1));
    EXPECT_TRUE(servers.front().m_isFailing);
  });
  Section("the server answers, which is reported once", [&] {
    Give(Data("i-1"), 1.5);
    const auto servers = m_host.TakeLoad(At(1.6)).m_servers;
    ASSERT_EQ(servers.size(), 1U);
    EXPECT_FALSE(servers.front().m_isFailing);
    EXPECT_TRUE(m_host.TakeLoad(At(1.7)).m_servers.empty());
  });
  Section("a response is reported with its time", [&] {
    Sent next = Data("i-1");
    next.m_sequence = 12;
    next.m_acknowledged = 50;
    Give(next, 1.8);
    const auto servers = m_host.TakeLoad(At(1.9)).m_servers;
    ASSERT_EQ(servers.size(), 1U);
    EXPECT_EQ(servers.front().m_responses, 1U);
    EXPECT_EQ(base::Milliseconds(servers.front().m_latency), 300);
  });
}

TEST_F(TokenHostTest, EstimatesTheLoadOfItsZoneFromReports)
{
  Learn({ MakeServer("i-1"), MakeServer("i-2") });
  m_host.TakeLoad(At(0));
  m_host.SetLiveHosts({ { "a", 4 } });
  const double slots = 2.0 * MakeServer("i-1").m_slots;
  for (std::uint32_t host = 1; host <= 3; ++host) {
    EXPECT_TRUE(m_host.MergeLoad({ { host }, "a", 1, 1 },
                                 { { { { "desk", "a" }, 2 } }, {} },
                                 { { { { "desk", "a" }, { 2, 2 } } }, 3, {} },
                                 At(0)));
  }
  m_now = 0.1;
  RunUntil(1);
  EXPECT_DOUBLE_EQ(
    m_host.GetSharedLoad().LoadOfZone("desk", "a", At(1))->m_requestsPerSlot,
    2 * 4 / slots);
  RunUntil(2.5);
  EXPECT_FALSE(m_host.GetSharedLoad().LoadOfZone("desk", "a", At(2.5)));
}

TEST_F(TokenHostTest, PlacesFlowsAsBeforeWhileLoadReportsAreOn)
{
  const std::vector<registry::Server> servers = { MakeServer("i-1"),
                                                  MakeServer("i-2"),
                                                  MakeServer("i-3", "b") };
  Learn(servers);
  std::vector<std::string> chosen;
  Section("with reports", [&] {
    m_host.TakeLoad(At(0));
    m_host.SetLiveHosts({ { "a", 4 }, { "b", 4 } });
    for (std::uint16_t port = 1; port <= 100; ++port) {
      Sent open;
      open.m_callerPort = port;
      m_host.MergeLoad({ { port }, "a", 1, 1 },
                       { { { { "desk", "a" }, 90 } }, {} },
                       { { { { "desk", "a" }, { 90, 90 } } }, 3, {} },
                       At(port * 0.01));
      chosen.push_back(Give(open, port * 0.01));
    }
  });
  Section(
    "a host without reports sends the same flows to the same servers", [&] {
      TokenHost plain({ "h", "a", kReturnPort, std::chrono::seconds(4) },
                      m_timing,
                      1,
                      m_codec,
                      m_effects);
      plain.NextCall(At(0));
      registry::Page page{ { ConfigurationFact(1, 1) }, "", 10 };
      for (const auto& server : servers) {
        page.m_facts.push_back(ServerFact(server, 5));
      }
      plain.OnListAnswer(page, At(0));
      plain.NextCall(At(0));
      plain.OnWatchAnswer(registry::Changes{ {}, 10 }, At(0));
      for (std::uint16_t port = 1; port <= 100; ++port) {
        Sent open;
        open.m_callerPort = port;
        plain.OnPacket(Write(open), At(port * 0.01));
        EXPECT_EQ(ToString(m_effects.m_to.back()), chosen[port - 1U]) << port;
      }
    });
}

TEST(ChooseService, DistributesFlowsByWeight)
{
  const registry::Route route{ "r", {}, { { "a", 90 }, { "b", 10 } } };
  int b = 0;
  for (std::uint64_t hash = 0; hash < 10'000; ++hash) {
    b += ChooseService(route, hash) == "b" ? 1 : 0;
  }
  EXPECT_NEAR(b, 1000, 120);
  EXPECT_EQ(ChooseService({ "r", {}, { { "a", 0 } } }, 1), "");
  EXPECT_EQ(ChooseService({ "r", {}, {} }, 1), "");
}

} // namespace wasabiloom::tests
