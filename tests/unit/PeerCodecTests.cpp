#include "support/Problems.h"
#include "support/Section.h"
#include "wasabiloom/wire/PeerCodec.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace wasabiloom::tests {

using namespace peer;
using steering::PinnedFlow;
using wire::DecodePeer;
using wire::EncodePeer;

namespace {

steering::TableVersion
Version(std::uint32_t aTerm)
{
  return { aTerm, 9, { 77 } };
}

std::vector<PinnedFlow>
Flows(std::uint32_t aCount)
{
  std::vector<PinnedFlow> flows;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    flows.push_back({ steering::FlowIdOf(base::Mix(i)), { i % 3 } });
  }
  std::ranges::sort(flows);
  return flows;
}

std::vector<Message>
OneOfEach()
{
  const steering::ShardKey shard{ { 5 }, 3 };
  Propose propose;
  propose.m_shard = shard;
  propose.m_version = Version(2);
  propose.m_basis = Version(1);
  propose.m_ownerIncarnation = 12;
  propose.m_takeover = true;
  propose.m_moves = { { 1, { 2 } } };
  propose.m_known = Flows(20);
  Sync sync;
  sync.m_shard = shard;
  sync.m_version = Version(4);
  for (std::uint32_t row = 0; row < steering::kRowsPerShard; ++row) {
    sync.m_rows.push_back({ row % 5 });
  }
  sync.m_pinned = Flows(5);
  sync.m_window = propose;
  return { Heartbeat{ HostPhase::Ready, 2, 3, 4, true, true },
           propose,
           Contribute{ shard, Version(2), Version(1), true, Flows(3) },
           Commit{ shard, Version(2), Flows(1) },
           CommitAck{ shard, Version(2) },
           PlacementNotice{ shard, Flows(1).front() },
           StrayFlows{ shard, Flows(7) },
           SyncRequest{ shard, Version(3), Version(4), true },
           sync,
           LoadReports{ { 3 }, { { { 4 }, 900, health::WarmupState::Cold } } },
           BundleRequest{},
           BundleReply{ "bytes" } };
}

} // namespace

TEST(PeerCodec, KeepsEveryMessage)
{
  for (const Message& message : OneOfEach()) {
    const Datagram datagram{ { 42 }, 99, message };
    EXPECT_EQ(ValueOf([&] { return DecodePeer(EncodePeer(datagram)); }),
              datagram);
  }
}

TEST(PeerCodec, SpendsFewBytesOnAFlow)
{
  const steering::ShardKey shard{ { 5 }, 3 };
  const auto size = [&](std::uint32_t aFlows) {
    return EncodePeer({ { 1 }, 1, Commit{ shard, Version(2), Flows(aFlows) } })
      .size();
  };
  EXPECT_LE(size(2000) - size(1000), 1000U * 9U / 2U);
}

RC_GTEST_PROP(PeerCodec, RefusesDamageWithoutHarm, ())
{
  const auto messages = OneOfEach();
  const auto which = *rc::gen::inRange<std::size_t>(0, messages.size());
  std::string bytes = EncodePeer({ { 42 }, 99, messages[which] });
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  const auto problem = ProblemOf([&] { return DecodePeer(bytes); });
  RC_ASSERT(problem.m_code == base::ResultCode::Ok ||
            problem.m_code == base::ResultCode::PeerMessageMalformed);
}

} // namespace wasabiloom::tests
