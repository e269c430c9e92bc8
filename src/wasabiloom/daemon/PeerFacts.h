/// Asks another host for the facts that it knows.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Time.h"
#include "wasabiloom/daemon/HttpClient.h"
#include "wasabiloom/registry/RegistryUpdate.h"

#include <functional>
#include <memory>
#include <string>

namespace wasabiloom::daemon {

/// Path under which a host tells its facts; `?after=REVISION` may follow.
constexpr const char* kFactsPath = "/facts";

/// How long a peer may take to answer.
constexpr base::Duration kPeerTimeout = std::chrono::milliseconds(400);

/// Asks one peer at a time. Lives on the thread that made it.
class PeerFacts
{
public:
  using OnFacts = std::function<void(const registry::RegistryUpdate&)>;
  using OnFailed = std::function<void()>;

  /// `aOnFailed` is called when the peer answered nothing usable.
  PeerFacts(OnFacts aOnFacts, OnFailed aOnFailed);
  ~PeerFacts();

  /// Asks `aPeer` for facts newer than `aRevision`, unless it is being asked
  /// already; a call to another peer is given up for this one.
  void Ask(const base::Endpoint& aPeer, std::uint64_t aRevision);

private:
  void OnAnswer(const HttpAnswer& aAnswer);
  void DropClient();

  OnFacts m_onFacts;
  OnFailed m_onFailed;
  base::Endpoint m_peer;
  std::unique_ptr<HttpClient> m_client;
};

} // namespace wasabiloom::daemon
