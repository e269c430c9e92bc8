#include "wasabiloom/daemon/PeerFacts.h"

#include "wasabiloom/daemon/BufferedLog.h"
#include "wasabiloom/registry/FactsCodec.h"

namespace wasabiloom::daemon {

namespace {

constexpr int kOk = 200;

} // namespace

PeerFacts::PeerFacts(OnFacts aOnFacts, OnFailed aOnFailed)
  : m_onFacts(std::move(aOnFacts))
  , m_onFailed(std::move(aOnFailed))
{
}

PeerFacts::~PeerFacts() = default;

void
PeerFacts::Ask(const base::Endpoint& aPeer,
               const registry::RegistryRevision& aRevision)
{
  const bool isAsked = m_client != nullptr && m_peer == aPeer;
  if (isAsked) {
    return;
  }
  DropClient();
  m_peer = aPeer;
  m_client = std::make_unique<HttpClient>(aPeer);
  const std::string target =
    std::string(kFactsPath) + "?after=" + std::to_string(aRevision.m_number) +
    (aRevision.m_epoch == 0 ? ""
                            : "&epoch=" + std::to_string(aRevision.m_epoch));
  m_client->Get(target,
                kPeerTimeout,
                [this, asked = m_client.get()](const HttpAnswer& aAnswer) {
                  // An abandoned request may still complete.
                  if (asked == m_client.get()) {
                    OnAnswer(aAnswer);
                  }
                });
}

void
PeerFacts::DropClient()
{
  if (m_client != nullptr) {
    // This method may be called from a handler of that client.
    m_client.release()->deleteLater();
  }
}

void
PeerFacts::OnAnswer(const HttpAnswer& aAnswer)
{
  DropClient();
  if (aAnswer.m_status != kOk) {
    // The peer is unreachable or has no newer facts.
    m_onFailed();
    return;
  }
  base::Handle(
    [&]() -> base::Result<void> {
      BOOST_LEAF_AUTO(update, registry::DecodeUpdate(aAnswer.m_body));
      m_onFacts(update);
      return {};
    },
    [this](const base::Problem& aProblem) {
      LogLine(LogLevel::Warn,
              "host",
              "event=peer_facts_refused detail=\"" + Describe(aProblem) + "\"");
      m_onFailed();
    });
}

} // namespace wasabiloom::daemon
