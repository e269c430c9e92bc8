#include "support/Registry.h"
#include "support/Section.h"
#include "wasabiloom/fleet/ProviderDirectory.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using namespace fleet;
using namespace std::chrono_literals;

namespace {

/// Records the answers that a directory sends.
class Answers final : public ProviderDirectoryOutbox
{
public:
  void SendProviders(base::Ipv4Address aTo,
                     const Providers& aProviders) override
  {
    m_sent.emplace_back(aTo.m_bits, aProviders);
  }

  /// Number of hosts directed to `aTeller` so far.
  std::size_t CountLedTo(std::uint32_t aTeller) const
  {
    std::size_t count = 0;
    for (const auto& [to, providers] : m_sent) {
      count += !providers.m_addresses.empty() &&
                   providers.m_addresses.front().m_bits == aTeller
                 ? 1
                 : 0;
    }
    return count;
  }

  std::vector<std::pair<std::uint32_t, Providers>> m_sent;
};

Member
HostOf(std::uint32_t aAddress, std::uint32_t aCapacity = 2)
{
  return { { aAddress }, "a", 1, MemberState::Alive, aCapacity };
}

} // namespace

TEST(ProviderDirectory, AnswersEarlierRequestsOnceAProviderIsKnown)
{
  Answers answers;
  ProviderDirectory board(answers);
  board.OnFactsWanted(HostOf(1), At(0));
  ASSERT_EQ(answers.m_sent.size(), 1U);
  EXPECT_TRUE(answers.m_sent[0].second.m_addresses.empty());
  board.OnFactsKnown(HostOf(9, 100), At(0.1));
  EXPECT_EQ(answers.CountLedTo(9), 1U);
  EXPECT_EQ(board.WaitingCount(), 0U);

  Section("a request that has expired is not answered", [&] {
    board.OnFactsWanted(HostOf(9, 100), At(0.2));
    board.OnFactsWanted(HostOf(2), At(0.2));
    board.OnFactsKnown(HostOf(9, 100), At(2));
    EXPECT_EQ(answers.CountLedTo(9), 1U);
  });
}

TEST(ProviderDirectory, DirectsNoMoreHostsToAProviderThanItCanServe)
{
  Answers answers;
  ProviderDirectory board(answers);
  board.OnFactsKnown(HostOf(8, 2), At(0));
  board.OnFactsKnown(HostOf(9, 100), At(0));
  for (std::uint32_t host = 100; host < 300; ++host) {
    board.OnFactsWanted(HostOf(host), At(0));
  }
  EXPECT_LE(answers.CountLedTo(8), 2U);
  EXPECT_LE(answers.CountLedTo(9), 32U);
  EXPECT_GE(answers.CountLedTo(9), 20U);

  Section("hosts that wait are served as soon as a provider is free", [&] {
    const std::size_t before = answers.CountLedTo(9);
    board.Tick(At(0.05));
    EXPECT_GT(answers.CountLedTo(9), before);
    for (std::uint32_t host = 100; host < 110; ++host) {
      board.OnFactsKnown(HostOf(host, 100), At(0.1));
    }
    EXPECT_EQ(board.WaitingCount(), 0U);
  });
}

TEST(ProviderDirectory, LimitsHostsThatListTheRegistryAtOnce)
{
  Answers answers;
  ProviderDirectory board(answers);
  for (std::uint32_t host = 1; host <= 40; ++host) {
    board.OnFactsWanted(HostOf(host, 100), At(0));
  }
  std::uint32_t listing = 0;
  for (const auto& [to, providers] : answers.m_sent) {
    listing += providers.m_listersBefore < kMaxListersPerDirectory ? 1 : 0;
  }
  EXPECT_EQ(listing, kMaxListersPerDirectory);
  board.OnFactsWanted(HostOf(1, 100), At(0.1));
  EXPECT_EQ(answers.m_sent.back().second.m_listersBefore, 0U)
    << "a host that may list asks again";
  board.OnFactsWanted(HostOf(50, 100), At(2));
  EXPECT_EQ(answers.m_sent.back().second.m_listersBefore, 0U)
    << "earlier listings may have failed, so their hosts no longer count";
}

} // namespace wasabiloom::tests
