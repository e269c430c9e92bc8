#include "wasabiloom/token/BeliefLog.h"

namespace wasabiloom::token {

namespace {

std::string
DescribeFact(const registry::Fact& aFact)
{
  std::string text = "kind=" + std::string(ToString(aFact.m_kind)) +
                     " name=" + (aFact.m_name.empty() ? "-" : aFact.m_name) +
                     " revision=" + std::to_string(aFact.m_revision);
  if (const auto* server = std::get_if<registry::Server>(&aFact.m_content)) {
    text += " service=" + server->m_service +
            " address=" + ToString(server->m_address) +
            " zone=" + server->m_zone + " state=" +
            (server->m_state == registry::ServerState::Draining ? "draining"
                                                                : "ready") +
            " born=" + std::to_string(server->m_born) + " token=" +
            std::to_string(registry::MakeToken(server->m_id, server->m_born));
  } else if (const auto* configuration =
               std::get_if<registry::Configuration>(&aFact.m_content)) {
    text += " version=" + std::to_string(configuration->m_version) +
            " routes=" + std::to_string(configuration->m_routes.size());
  } else if (const auto* unusable =
               std::get_if<registry::Unusable>(&aFact.m_content)) {
    text += " why=\"" + unusable->m_reason + "\"";
  } else if (std::holds_alternative<registry::Removed>(aFact.m_content)) {
    text += " removed=1";
  }
  return text;
}

} // namespace

BeliefLog::BeliefLog(Totals& aTotals, TokenEffects& aEffects)
  : m_totals(aTotals)
  , m_effects(aEffects)
{
}

void
BeliefLog::OnFact(const registry::Fact& aFact, registry::Outcome aOutcome)
{
  if (aOutcome == registry::Outcome::Unchanged) {
    return;
  }
  m_totals.m_factsAdopted += aOutcome == registry::Outcome::Adopted ? 1 : 0;
  m_totals.m_factsSetAside += aOutcome == registry::Outcome::SetAside ? 1 : 0;
  m_effects.LogBelief("fact_" + std::string(ToString(aOutcome)),
                      DescribeFact(aFact));
}

void
BeliefLog::OnCallFailed(const registry::CallFailure& aFailure,
                        std::uint32_t aFailures,
                        base::Duration aPause)
{
  ++m_totals.m_callsFailed;
  const auto pause =
    std::chrono::duration_cast<std::chrono::milliseconds>(aPause);
  m_effects.LogBelief(
    "registry_call_failed",
    "code=" + std::to_string(static_cast<int>(aFailure.m_code)) + " failures=" +
      std::to_string(aFailures) + " pause_ms=" + std::to_string(pause.count()) +
      " detail=\"" + aFailure.m_detail + "\"");
}

void
BeliefLog::OnReachable(std::uint64_t aRevision)
{
  m_effects.LogBelief("registry_reachable",
                      "revision=" + std::to_string(aRevision));
}

void
BeliefLog::OnListed(std::uint64_t aRevision, std::size_t aFacts)
{
  m_effects.LogBelief("registry_listed",
                      "revision=" + std::to_string(aRevision) +
                        " facts=" + std::to_string(aFacts));
}

} // namespace wasabiloom::token
