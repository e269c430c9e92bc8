#include "support/Registry.h"
#include "support/Section.h"
#include "wasabiloom/fleet/LoadExchange.h"

#include <gtest/gtest.h>

#include <map>

namespace wasabiloom::tests {

using namespace fleet;
using namespace std::chrono_literals;

namespace {

/// Hosts of the own zone, and of two others.
constexpr std::uint32_t kNear = 10;
constexpr std::uint32_t kFar = 20;

class LoadExchangeTest
  : public testing::Test
  , private MembershipOutbox
  , private LoadOutbox
  , private LocalLoad
{
protected:
  LoadExchangeTest()
  {
    for (std::uint32_t host = 1; host <= kNear + kFar; ++host) {
      const std::string zone = host <= kNear ? "a" : host % 2 == 0 ? "b" : "c";
      m_membership.OnMessage({ { { 100 + host }, zone, 1 }, {}, MemberList{} },
                             At(0));
    }
  }

  /// Runs the exchange for `aSeconds` in ticks of 50 ms.
  void RunFor(double aSeconds)
  {
    const double end = m_now + aSeconds;
    for (; m_now < end; m_now += 0.05) {
      m_exchange.Tick(At(m_now));
    }
  }

  std::map<std::string, std::size_t> m_sentByZone;
  std::map<std::uint32_t, std::size_t> m_sentByHost;
  std::vector<LoadReport> m_sent;
  placing::HostLoad m_observed;
  std::size_t m_merged = 0;
  std::size_t m_taken = 0;
  bool m_accepts = true;
  double m_now = 0;
  SwimMembership m_membership{ { { 1 }, "a", 1 }, 1, *this };
  LoadExchange m_exchange{ 200ms, 1, m_membership, *this, *this };

private:
  void SendTo(base::Ipv4Address /*aTo*/, const Message& /*aMessage*/) override
  {
  }
  void OnMemberState(const Member& /*aMember*/) override {}
  void SendLoad(base::Ipv4Address aTo, const Message& aMessage) override
  {
    ++m_sentByZone[m_membership.Find(aTo)->m_zone];
    ++m_sentByHost[aTo.m_bits];
    m_sent.push_back(std::get<LoadReport>(aMessage.m_content));
  }
  placing::HostLoad TakeLoad(base::Instant /*aNow*/) override
  {
    ++m_taken;
    return m_observed;
  }
  void SetLiveHosts(placing::LiveHosts aLiveHosts) override
  {
    EXPECT_EQ(aLiveHosts,
              (placing::LiveHosts{
                { "a", kNear + 1 }, { "b", kFar / 2 }, { "c", kFar / 2 } }));
  }
  bool MergeLoad(const placing::Reporter& /*aFrom*/,
                 const placing::HostLoad& /*aLoad*/,
                 const placing::LearnedLoad& /*aLearned*/,
                 base::Instant /*aNow*/) override
  {
    ++m_merged;
    return m_accepts;
  }
  placing::LearnedLoad NewestLoad(std::size_t aZones,
                                  base::Instant /*aNow*/) const override
  {
    placing::LearnedLoad learned;
    for (std::size_t i = 0; i < aZones; ++i) {
      learned.m_zones.push_back(
        { "zone-" + std::to_string(i), { "desk", "a" }, 1, 5, 0s });
    }
    return learned;
  }
};

} // namespace

TEST_F(LoadExchangeTest, SendsThreeOfFourReportsToTheOwnZone)
{
  RunFor(60);
  const auto sent = static_cast<double>(m_exchange.Totals().m_sent);
  EXPECT_GT(sent, 60);
  EXPECT_NEAR(static_cast<double>(m_sentByZone["a"]) / sent, 0.75, 0.01);
  Section("every host gets some",
          [&] { EXPECT_EQ(m_sentByHost.size(), kNear + kFar); });
  Section("long reports are shortened to the bytes that have accrued",
          [&] { EXPECT_LT(m_exchange.Totals().m_sentBytes, 60U * 700); });
}

TEST_F(LoadExchangeTest, SendsFailingServersInEveryReportOfItsZone)
{
  m_observed.m_servers = { { 7, 0ms, 0, true }, { 8, 5ms, 3, false } };
  RunFor(10);
  std::size_t responding = 0;
  for (const LoadReport& report : m_sent) {
    ASSERT_FALSE(report.m_load.m_servers.empty());
    EXPECT_EQ(report.m_load.m_servers.front().m_token, 7U);
    responding += report.m_load.m_servers.size() - 1;
  }
  EXPECT_GT(responding, 0U);
}

TEST_F(LoadExchangeTest, DiscardsWhatItObservedBeforeAPause)
{
  RunFor(5);
  const std::uint64_t sent = m_exchange.Totals().m_sent;
  const std::size_t taken = m_taken;
  m_now += 10;
  m_exchange.Tick(At(m_now));
  EXPECT_EQ(m_exchange.Totals().m_sent, sent);
  EXPECT_EQ(m_taken, taken + 1);
}

TEST_F(LoadExchangeTest, CountsReportsThatItIgnores)
{
  const Member sender{ { 101 }, "a", 1 };
  m_exchange.OnReport(sender, {}, At(0));
  m_accepts = false;
  m_exchange.OnReport(sender, {}, At(0));
  m_exchange.OnReport(m_membership.Self(), {}, At(0));
  EXPECT_EQ(m_exchange.Totals().m_received, 2U);
  EXPECT_EQ(m_exchange.Totals().m_ignored, 1U);
  EXPECT_EQ(m_merged, 2U);
}

} // namespace wasabiloom::tests
