#include "wasabiloom/daemon/FactsEndpoint.h"

#include "wasabiloom/registry/FactsCodec.h"

#include <charconv>

namespace wasabiloom::daemon {

namespace {

constexpr int kNoNews = 204;

/// Returns the revision in the query of `aPath`; 0 if there is none.
std::uint64_t
RevisionIn(const std::string& aPath)
{
  constexpr std::string_view kAfter = "?after=";
  std::uint64_t after = 0;
  const std::size_t at = aPath.find(kAfter);
  if (at != std::string::npos) {
    const char* first = aPath.data() + at + kAfter.size();
    std::from_chars(first, aPath.data() + aPath.size(), after);
  }
  return after;
}

} // namespace

FactsEndpoint::FactsEndpoint(const token::TokenHost& aHost)
  : m_host(aHost)
{
}

HttpReply
FactsEndpoint::Answer(const std::string& aPath, base::Instant aNow)
{
  const std::uint64_t after = RevisionIn(aPath);
  const auto freshness = m_host.Freshness(aNow);
  if (!freshness || freshness->m_toRevision < after) {
    return { kNoNews, "text/plain", "" };
  }
  constexpr const char* kType = "application/x-protobuf";
  if (after == 0) {
    registry::RegistryUpdate all = *freshness;
    all.m_fromRevision = 0;
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
    m_packed = registry::PackFacts(m_host.UpdateSince(0, aNow)->m_facts);
    m_packedRevision = m_host.Revision();
    m_packedAt = aNow;
  }
  return m_packed;
}

} // namespace wasabiloom::daemon
