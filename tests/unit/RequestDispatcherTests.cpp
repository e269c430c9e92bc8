#include "support/SampleBundle.h"
#include "support/Section.h"
#include "wasabiloom/request/RequestDispatcher.h"

namespace wasabiloom::tests {

using namespace request;
using base::ResultCode;
using std::chrono::milliseconds;

namespace {

/// Records the datagrams that a dispatcher sends.
class Recorder final : public RequestSink
{
public:
  void SendToBackend(const base::Endpoint& aTo,
                     const Envelope& aEnvelope) override
  {
    m_toBackend.emplace_back(aTo, aEnvelope);
  }
  void SendToCaller(const packet::FlowKey& /*aFlow*/,
                    const Envelope& aEnvelope) override
  {
    m_toCaller.push_back(aEnvelope);
  }
  void LogRequestDecision(const RequestDecision& /*aDecision*/) override {}

  std::vector<std::pair<base::Endpoint, Envelope>> m_toBackend;
  std::vector<Envelope> m_toCaller;
};

/// A dispatcher with `aTargets` backend servers of two slots each, and a clock
/// that only the test advances.
class DispatcherBench
{
public:
  explicit DispatcherBench(int aTargets, std::uint32_t aInstance = 1)
    : m_service(SampleService("vault", aTargets))
    , m_dispatcher("vault", aInstance, m_directory, m_sink)
  {
    m_directory.UpdateFromBundle(SampleBundle(1, { m_service }), m_service);
  }

  Envelope Ask(char aId, bool aRepeatable)
  {
    Envelope envelope;
    envelope.m_id = std::string(kRequestIdBytes, aId);
    envelope.m_repeatable = aRepeatable;
    envelope.m_timeout = milliseconds(1000);
    envelope.m_body = std::string(1, aId);
    m_dispatcher.OnCallerDatagram(m_flow, envelope, m_now);
    return envelope;
  }

  void Reply(std::size_t aDispatch, EnvelopeKind aKind, std::uint32_t aPart = 0)
  {
    Envelope reply = m_sink.m_toBackend.at(aDispatch).second;
    reply.m_kind = aKind;
    reply.m_partIndex = aPart;
    reply.m_partCount = 2;
    m_dispatcher.OnBackendDatagram(reply, m_now);
  }

  /// Answers the last request that was sent to a backend server.
  void ReplyToLastRequest(EnvelopeKind aKind)
  {
    std::size_t last = m_sink.m_toBackend.size() - 1;
    while (m_sink.m_toBackend.at(last).second.m_kind != EnvelopeKind::Request) {
      --last;
    }
    Reply(last, aKind);
  }

  void Pass(milliseconds aTime)
  {
    m_now += aTime;
    m_dispatcher.Tick(m_now);
  }

  std::size_t Dispatches() const
  {
    std::size_t count = 0;
    for (const auto& [to, envelope] : m_sink.m_toBackend) {
      count += envelope.m_kind == EnvelopeKind::Request ? 1 : 0;
    }
    return count;
  }

  bundle::Service m_service;
  steering::TargetDirectory m_directory;
  Recorder m_sink;
  RequestDispatcher m_dispatcher;
  packet::FlowKey m_flow{ { { 1 }, 9 }, {} };
  base::Instant m_now{ std::chrono::seconds(100) };
};

} // namespace

TEST(RequestDispatcher, RunsARequestOnceAndRelaysItsWholeAnswer)
{
  DispatcherBench bench(3);
  const Envelope asked = bench.Ask('a', false);
  Section("a repeated request datagram is not dispatched again", [&] {
    bench.Ask('a', false);
    EXPECT_EQ(bench.Dispatches(), 1U);
  });
  Section(
    "answer parts are relayed in any order, each once, with the caller's id",
    [&] {
      bench.Reply(0, EnvelopeKind::Answer, 1);
      bench.Reply(0, EnvelopeKind::Answer, 1);
      EXPECT_EQ(bench.m_sink.m_toCaller.size(), 1U);
      bench.Reply(0, EnvelopeKind::Answer, 0);
      ASSERT_EQ(bench.m_sink.m_toCaller.size(), 2U);
      EXPECT_EQ(bench.m_sink.m_toCaller[1].m_id, asked.m_id);
      EXPECT_EQ(bench.m_dispatcher.InProgressCount(), 0U);
    });
  Section("a request repeated after its end gets the same answer again", [&] {
    bench.Ask('a', false);
    EXPECT_EQ(bench.m_sink.m_toCaller.size(), 4U);
    EXPECT_EQ(bench.Dispatches(), 1U);
  });
}

TEST(RequestDispatcher, RefusesOnlyRequestsThatWereNotRun)
{
  Section("a refused request is sent to another backend server", [] {
    DispatcherBench bench(2);
    bench.Ask('a', false);
    bench.Reply(0, EnvelopeKind::Refusal);
    ASSERT_EQ(bench.Dispatches(), 2U);
    EXPECT_NE(bench.m_sink.m_toBackend[0].first,
              bench.m_sink.m_toBackend[1].first);
    Section("a request refused by all backend servers waits for half of its "
            "time, then the caller gets a refusal",
            [&] {
              bench.Reply(1, EnvelopeKind::Refusal);
              EXPECT_TRUE(bench.m_sink.m_toCaller.empty());
              bench.m_now += milliseconds(480);
              EXPECT_TRUE(bench.m_sink.m_toCaller.empty());
              for (std::size_t dispatch = 2; bench.m_sink.m_toCaller.empty();
                   ++dispatch) {
                bench.Pass(milliseconds(10));
                if (bench.Dispatches() > dispatch) {
                  bench.Reply(dispatch, EnvelopeKind::Refusal);
                }
                ASSERT_LT(bench.m_now,
                          base::Instant(std::chrono::milliseconds(100'520)));
              }
              ASSERT_EQ(bench.m_sink.m_toCaller.size(), 1U);
              EXPECT_EQ(bench.m_sink.m_toCaller[0].m_kind,
                        EnvelopeKind::Refusal);
            });
  });
  Section("the outcome of an unanswered non-repeatable request is unknown", [] {
    DispatcherBench bench(2);
    bench.Ask('a', false);
    bench.Pass(milliseconds(600));
    EXPECT_EQ(bench.Dispatches(), 1U);
    bench.Pass(milliseconds(500));
    EXPECT_EQ(bench.Dispatches(), 1U);
    ASSERT_EQ(bench.m_sink.m_toCaller.size(), 1U);
    EXPECT_EQ(bench.m_sink.m_toCaller[0].m_kind, EnvelopeKind::UnknownOutcome);
  });
  Section("an unanswered repeatable request is sent to another backend server "
          "before its deadline",
          [] {
            DispatcherBench bench(2);
            bench.Ask('a', true);
            bench.Pass(milliseconds(600));
            EXPECT_EQ(bench.Dispatches(), 2U);
          });
  Section("a refusal of the second attempt does not hide that the first one, "
          "which was not answered, may have run",
          [] {
            DispatcherBench bench(2);
            bench.Ask('a', true);
            bench.Pass(milliseconds(600));
            ASSERT_EQ(bench.Dispatches(), 2U);
            for (int i = 0; i < 50 && bench.m_sink.m_toCaller.empty(); ++i) {
              bench.ReplyToLastRequest(EnvelopeKind::Refusal);
              bench.Pass(milliseconds(10));
            }
            ASSERT_EQ(bench.m_sink.m_toCaller.size(), 1U);
            EXPECT_EQ(bench.m_sink.m_toCaller[0].m_kind,
                      EnvelopeKind::UnknownOutcome);
          });
  Section("a cancellation after a refused second attempt does not hide that "
          "the first one may have run",
          [] {
            DispatcherBench bench(2);
            Envelope cancel = bench.Ask('a', true);
            bench.Pass(milliseconds(400));
            bench.Pass(milliseconds(150));
            ASSERT_EQ(bench.Dispatches(), 2U);
            bench.ReplyToLastRequest(EnvelopeKind::Refusal);
            cancel.m_kind = EnvelopeKind::Cancel;
            bench.m_dispatcher.OnCallerDatagram(
              bench.m_flow, cancel, bench.m_now);
            ASSERT_EQ(bench.m_sink.m_toCaller.size(), 1U);
            EXPECT_EQ(bench.m_sink.m_toCaller[0].m_kind,
                      EnvelopeKind::UnknownOutcome);
          });
  Section("a request without a free slot waits and gets the first slot freed",
          [] {
            DispatcherBench bench(1);
            bench.Ask('a', false);
            bench.Ask('b', false);
            bench.Ask('c', false);
            EXPECT_EQ(bench.Dispatches(), 2U);
            bench.Reply(0, EnvelopeKind::Answer, 0);
            bench.Reply(0, EnvelopeKind::Answer, 1);
            EXPECT_EQ(bench.Dispatches(), 3U);
          });
  Section(
    "a request cancelled while it waits is refused and never dispatched", [] {
      DispatcherBench bench(1);
      bench.Ask('a', false);
      bench.Ask('b', false);
      Envelope cancel = bench.Ask('c', false);
      cancel.m_kind = EnvelopeKind::Cancel;
      bench.m_dispatcher.OnCallerDatagram(bench.m_flow, cancel, bench.m_now);
      ASSERT_EQ(bench.m_sink.m_toCaller.size(), 1U);
      EXPECT_EQ(bench.m_sink.m_toCaller[0].m_code, ResultCode::Cancelled);
      bench.Reply(0, EnvelopeKind::Answer, 0);
      bench.Reply(0, EnvelopeKind::Answer, 1);
      EXPECT_EQ(bench.Dispatches(), 2U);
    });
  Section("a request is refused at once if too many requests already wait", [] {
    DispatcherBench bench(1);
    constexpr int kRunningAndWaiting = 2 + 16;
    for (int i = 0; i < kRunningAndWaiting; ++i) {
      bench.Ask(static_cast<char>('a' + i), false);
    }
    EXPECT_TRUE(bench.m_sink.m_toCaller.empty());
    bench.Ask('Z', false);
    ASSERT_EQ(bench.m_sink.m_toCaller.size(), 1U);
    EXPECT_EQ(bench.m_sink.m_toCaller[0].m_code, ResultCode::NoCapacity);
  });
}

TEST(RequestDispatcher, UsesOtherDispatchIdsThanAnotherInstance)
{
  DispatcherBench one(1, 1);
  DispatcherBench other(1, 2);
  one.Ask('a', false);
  other.Ask('b', false);
  EXPECT_NE(one.m_sink.m_toBackend[0].second.m_id,
            other.m_sink.m_toBackend[0].second.m_id);
}

} // namespace wasabiloom::tests
