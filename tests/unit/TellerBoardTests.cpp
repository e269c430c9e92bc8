#include "support/Registry.h"
#include "support/Section.h"
#include "wasabiloom/fleet/TellerBoard.h"

#include <gtest/gtest.h>

namespace wasabiloom::tests {

using namespace fleet;
using namespace std::chrono_literals;

namespace {

/// Collects what a board sends.
class Answers final : public TellerOutbox
{
public:
  void SendTellers(base::Ipv4Address aTo, const Tellers& aTellers) override
  {
    m_sent.emplace_back(aTo.m_bits, aTellers);
  }

  /// Hosts led to `aTeller` so far.
  std::size_t CountLedTo(std::uint32_t aTeller) const
  {
    std::size_t count = 0;
    for (const auto& [to, tellers] : m_sent) {
      count += !tellers.m_addresses.empty() &&
                   tellers.m_addresses.front().m_bits == aTeller
                 ? 1
                 : 0;
    }
    return count;
  }

  std::vector<std::pair<std::uint32_t, Tellers>> m_sent;
};

Member
HostOf(std::uint32_t aAddress, std::uint32_t aCapacity = 2)
{
  return { { aAddress }, "a", 1, Standing::Alive, aCapacity };
}

} // namespace

TEST(TellerBoard, LeadsWhoAskedBeforeThereWasATeller)
{
  Answers answers;
  TellerBoard board(answers);
  board.OnWanted(HostOf(1), At(0));
  ASSERT_EQ(answers.m_sent.size(), 1U);
  EXPECT_TRUE(answers.m_sent[0].second.m_addresses.empty());
  board.OnKnown(HostOf(9, 100), At(0.1));
  EXPECT_EQ(answers.CountLedTo(9), 1U);
  EXPECT_EQ(board.Waiting(), 0U);

  Section("but not one that asked long ago", [&] {
    board.OnWanted(HostOf(9, 100), At(0.2));
    board.OnWanted(HostOf(2), At(0.2));
    board.OnKnown(HostOf(9, 100), At(2));
    EXPECT_EQ(answers.CountLedTo(9), 1U);
  });
}

TEST(TellerBoard, GivesNoTellerMoreThanItCanServe)
{
  Answers answers;
  TellerBoard board(answers);
  board.OnKnown(HostOf(8, 2), At(0));
  board.OnKnown(HostOf(9, 100), At(0));
  for (std::uint32_t host = 100; host < 300; ++host) {
    board.OnWanted(HostOf(host), At(0));
  }
  EXPECT_LE(answers.CountLedTo(8), 2U);
  EXPECT_LE(answers.CountLedTo(9), 32U);
  EXPECT_GE(answers.CountLedTo(9), 20U);

  Section("the others follow as it gets free, and as more know", [&] {
    const std::size_t before = answers.CountLedTo(9);
    board.Tick(At(0.05));
    EXPECT_GT(answers.CountLedTo(9), before);
    for (std::uint32_t host = 100; host < 110; ++host) {
      board.OnKnown(HostOf(host, 100), At(0.1));
    }
    EXPECT_EQ(board.Waiting(), 0U);
  });
}

TEST(TellerBoard, LetsFewCapableHostsList)
{
  Answers answers;
  TellerBoard board(answers);
  for (std::uint32_t host = 1; host <= 40; ++host) {
    board.OnWanted(HostOf(host, 100), At(0));
  }
  std::uint32_t listing = 0;
  for (const auto& [to, tellers] : answers.m_sent) {
    listing += tellers.m_listing < kListersABoard ? 1 : 0;
  }
  EXPECT_EQ(listing, kListersABoard);
  board.OnWanted(HostOf(1, 100), At(0.1));
  EXPECT_EQ(answers.m_sent.back().second.m_listing, 0U)
    << "one of them asks again";
  board.OnWanted(HostOf(50, 100), At(2));
  EXPECT_EQ(answers.m_sent.back().second.m_listing, 0U)
    << "those before may have failed";
}

} // namespace wasabiloom::tests
