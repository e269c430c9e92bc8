/// Fetches registry facts from another host.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Time.h"
#include "wasabiloom/daemon/HttpClient.h"
#include "wasabiloom/registry/RegistryUpdate.h"

#include <functional>
#include <memory>
#include <string>

namespace wasabiloom::daemon {

/// Path under which a host provides its facts; `?after=REVISION` may follow,
/// and `&epoch=EPOCH` after that.
constexpr const char* kFactsPath = "/facts";

/// Time limit for the response of a peer.
constexpr base::Duration kPeerTimeout = std::chrono::milliseconds(400);

/// Sends one request at a time. Use it on the thread that created it.
class PeerFacts
{
public:
  using OnFacts = std::function<void(const registry::RegistryUpdate&)>;
  using OnFailed = std::function<void()>;

  /// `aOnFailed` is called if the peer sends no usable response.
  PeerFacts(OnFacts aOnFacts, OnFailed aOnFailed);
  ~PeerFacts();

  /// Requests the facts after `aRevision` from `aPeer`. Has no effect if a
  /// request to it is in progress; a request to another peer is abandoned.
  void Ask(const base::Endpoint& aPeer,
           const registry::RegistryRevision& aRevision);

private:
  void OnAnswer(const HttpAnswer& aAnswer);
  void DropClient();

  OnFacts m_onFacts;
  OnFailed m_onFailed;
  base::Endpoint m_peer;
  std::unique_ptr<HttpClient> m_client;
};

} // namespace wasabiloom::daemon
