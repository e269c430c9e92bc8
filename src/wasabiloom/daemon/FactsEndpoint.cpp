#include "wasabiloom/daemon/FactsEndpoint.h"

#include "wasabiloom/registry/FactsCodec.h"

#include <charconv>

namespace wasabiloom::daemon {

namespace {

constexpr int kNoNews = 204;

/// Returns the number after `aName` in `aPath`; 0 if there is none.
std::uint64_t
NumberAfter(std::string_view aName, std::string_view aPath)
{
  std::uint64_t number = 0;
  const std::size_t at = aPath.find(aName);
  if (at != std::string_view::npos) {
    const std::string_view rest = aPath.substr(at + aName.size());
    std::from_chars(rest.data(), rest.data() + rest.size(), number);
  }
  return number;
}

/// Returns the revision in the query of `aPath`; 0 if there is none.
registry::RegistryRevision
RevisionIn(std::string_view aPath)
{
  const std::uint64_t number = NumberAfter("?after=", aPath);
  return { number == 0 ? 0 : NumberAfter("&epoch=", aPath), number };
}

} // namespace

FactsEndpoint::FactsEndpoint(const token::TokenHost& aHost)
  : m_host(aHost)
{
}

HttpReply
FactsEndpoint::Answer(const std::string& aPath, base::Instant aNow)
{
  const registry::RegistryRevision after = RevisionIn(aPath);
  const auto freshness = m_host.Freshness(aNow);
  if (!freshness || freshness->m_toRevision < after) {
    return { kNoNews, "text/plain", "" };
  }
  constexpr const char* kType = "application/x-protobuf";
  if (after == registry::RegistryRevision{}) {
    registry::RegistryUpdate all = *freshness;
    all.m_fromRevision = {};
    return { 200, kType, registry::EncodeUpdate(all, PackAll(aNow)) };
  }
  return { 200,
           kType,
           registry::EncodeUpdate(*m_host.UpdateSince(after, aNow)) };
}

std::string
FactsEndpoint::PackAll(base::Instant aNow)
{
  if (m_packedRevision != m_host.Revision() ||
      aNow - m_packedAt > kPackedLife) {
    m_packed = registry::PackFacts(m_host.UpdateSince({}, aNow)->m_facts,
                                   m_host.Revision().m_epoch);
    m_packedRevision = m_host.Revision();
    m_packedAt = aNow;
  }
  return m_packed;
}

} // namespace wasabiloom::daemon
