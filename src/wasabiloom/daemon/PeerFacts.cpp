#include "wasabiloom/daemon/PeerFacts.h"

#include "wasabiloom/daemon/BufferedLog.h"
#include "wasabiloom/registry/FactsCodec.h"

namespace wasabiloom::daemon {

namespace {

constexpr int kOk = 200;

} // namespace

PeerFacts::PeerFacts(OnFacts aOnFacts)
  : m_onFacts(std::move(aOnFacts))
{
}

PeerFacts::~PeerFacts() = default;

void
PeerFacts::SetPeers(const std::vector<base::Endpoint>& aPeers)
{
  m_clients.clear();
  for (const base::Endpoint& peer : aPeers) {
    m_clients.push_back(std::make_unique<HttpClient>(peer));
  }
}

void
PeerFacts::Ask(std::uint64_t aRevision, base::Instant aNow)
{
  const bool isFirst = m_askedAt == base::Instant{};
  if (!isFirst && aRevision == m_askedAfter &&
      aNow - m_askedAt < kAskInterval) {
    return;
  }
  m_askedAt = aNow;
  m_askedAfter = aRevision;
  const std::string target =
    std::string(kFactsPath) + "?after=" + std::to_string(aRevision);
  for (const auto& client : m_clients) {
    if (!client->IsBusy()) {
      client->Get(target, kPeerTimeout, [this](const HttpAnswer& aAnswer) {
        OnAnswer(aAnswer);
      });
    }
  }
}

void
PeerFacts::OnAnswer(const HttpAnswer& aAnswer)
{
  if (aAnswer.m_status != kOk) {
    // A peer that is away, or knows nothing newer, is no news.
    return;
  }
  base::Handle(
    [&]() -> base::Result<void> {
      BOOST_LEAF_AUTO(news, registry::DecodeNews(aAnswer.m_body));
      m_onFacts(news);
      return {};
    },
    [](const base::Problem& aProblem) {
      LogLine(LogLevel::Warn,
              "host",
              "event=peer_facts_refused detail=\"" + Describe(aProblem) + "\"");
    });
}

} // namespace wasabiloom::daemon
