/// Asks other hosts for the facts that they know.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Time.h"
#include "wasabiloom/daemon/HttpClient.h"
#include "wasabiloom/registry/News.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wasabiloom::daemon {

/// Path under which a host tells its facts; `?after=REVISION` may follow.
constexpr const char* kFactsPath = "/facts";

/// Pause between two askings of the same peers for the same.
constexpr base::Duration kAskInterval = std::chrono::milliseconds(800);

/// How long a peer may take to answer.
constexpr base::Duration kPeerTimeout = std::chrono::milliseconds(700);

/// Asks all peers at once, each over its own connection. Lives on the thread
/// that made it.
class PeerFacts
{
public:
  using OnFacts = std::function<void(const registry::News&)>;

  explicit PeerFacts(OnFacts aOnFacts);
  ~PeerFacts();

  /// Replaces the peers to ask.
  void SetPeers(const std::vector<base::Endpoint>& aPeers);

  /// Asks for facts newer than `aRevision`, unless it asked for the same a
  /// moment ago.
  void Ask(std::uint64_t aRevision, base::Instant aNow);

private:
  void OnAnswer(const HttpAnswer& aAnswer);

  OnFacts m_onFacts;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  base::Instant m_askedAt;
  std::uint64_t m_askedAfter = 0;
};

} // namespace wasabiloom::daemon
