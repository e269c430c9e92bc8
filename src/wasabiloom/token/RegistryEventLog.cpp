#include "wasabiloom/token/RegistryEventLog.h"

#include <algorithm>

namespace wasabiloom::token {

namespace {

std::string
DescribeFact(const registry::Fact& aFact)
{
  std::string text = "kind=" + std::string(ToString(aFact.m_kind)) +
                     " name=" + (aFact.m_name.empty() ? "-" : aFact.m_name) +
                     " revision=" + ToString(aFact.m_revision);
  if (const auto* server = std::get_if<registry::Server>(&aFact.m_content)) {
    text +=
      " service=" + server->m_service +
      " address=" + ToString(server->m_address) + " zone=" + server->m_zone +
      " state=" +
      (server->m_state == registry::ServerState::Draining ? "draining"
                                                          : "ready") +
      " born=" + std::to_string(server->m_startId) + " token=" +
      std::to_string(registry::MakeToken(server->m_id, server->m_startId));
  } else if (const auto* configuration =
               std::get_if<registry::Configuration>(&aFact.m_content)) {
    text += " version=" + std::to_string(configuration->m_version) +
            " routes=" + std::to_string(configuration->m_routes.size());
  } else if (const auto* terms =
               std::get_if<registry::GlobalConfiguration>(&aFact.m_content)) {
    text += " version=" + std::to_string(terms->m_version);
  } else if (const auto* unusable =
               std::get_if<registry::MalformedValue>(&aFact.m_content)) {
    text += " why=\"" + unusable->m_reason + "\"";
  } else if (std::holds_alternative<registry::Removed>(aFact.m_content)) {
    text += " removed=1";
  }
  return text;
}

/// Returns a short name of a fact for summaries: the name of its subject, and
/// its new state.
std::string
NameFact(const registry::Fact& aFact)
{
  if (const auto* terms =
        std::get_if<registry::GlobalConfiguration>(&aFact.m_content)) {
    return "version:" + std::to_string(terms->m_version);
  }
  if (const auto* whole =
        std::get_if<registry::Configuration>(&aFact.m_content)) {
    return "version:" + std::to_string(whole->m_version);
  }
  std::string name = aFact.m_name;
  if (std::holds_alternative<registry::Removed>(aFact.m_content)) {
    name += ":removed";
  } else if (const auto* server =
               std::get_if<registry::Server>(&aFact.m_content)) {
    name += server->m_state == registry::ServerState::Draining ? ":draining"
                                                               : ":ready";
  }
  return name;
}

} // namespace

RegistryEventLog::RegistryEventLog(Totals& aTotals, TokenEffects& aEffects)
  : m_totals(aTotals)
  , m_effects(aEffects)
{
}

void
RegistryEventLog::OnFact(const registry::Fact& aFact,
                         registry::FactOutcome aOutcome,
                         registry::Origin aOrigin)
{
  if (aOutcome == registry::FactOutcome::Unchanged) {
    return;
  }
  Count(aFact, aOutcome);
  if (aOutcome == registry::FactOutcome::Adopted) {
    ReportLeftOut(aFact);
  }
  const std::string what = "fact_" + std::string(ToString(aOutcome));
  if (aOrigin == registry::Origin::Watch ||
      aOutcome == registry::FactOutcome::SetAside) {
    m_effects.LogStateChange(what, DescribeFact(aFact));
  } else if (m_effects.LogsDetails()) {
    m_effects.LogDetail(what, DescribeFact(aFact));
  }
}

void
RegistryEventLog::ReportLeftOut(const registry::Fact& aFact)
{
  m_totals.m_factsSetAside += aFact.m_leftOut.size();
  for (std::size_t i = 0; i < std::min(aFact.m_leftOut.size(), kNamedFacts);
       ++i) {
    m_effects.LogStateChange(
      "fact_part_set_aside",
      DescribeFact(aFact) + " parts=" + std::to_string(aFact.m_leftOut.size()) +
        " why=\"" + aFact.m_leftOut[i] + "\"");
  }
}

void
RegistryEventLog::Count(const registry::Fact& aFact,
                        registry::FactOutcome aOutcome)
{
  m_totals.m_factsAdopted += aOutcome == registry::FactOutcome::Adopted ? 1 : 0;
  m_totals.m_factsSetAside +=
    aOutcome == registry::FactOutcome::SetAside ? 1 : 0;
  if (aOutcome != registry::FactOutcome::Adopted) {
    ++m_others;
    return;
  }
  if (m_adopted < kNamedFacts) {
    m_named += m_adopted == 0 ? " named=" : ",";
    m_named += NameFact(aFact);
  }
  ++m_adopted;
}

std::string
RegistryEventLog::TakeSummary()
{
  std::string summary = " adopted=" + std::to_string(m_adopted) +
                        " others=" + std::to_string(m_others) + m_named;
  m_adopted = 0;
  m_others = 0;
  m_named.clear();
  return summary;
}

void
RegistryEventLog::OnCallFailed(const registry::CallFailure& aFailure,
                               std::uint32_t aFailures,
                               base::Duration aPause)
{
  ++m_totals.m_callsFailed;
  const auto pause =
    std::chrono::duration_cast<std::chrono::milliseconds>(aPause);
  m_effects.LogStateChange(
    "registry_call_failed",
    "code=" + std::to_string(static_cast<int>(aFailure.m_code)) + " failures=" +
      std::to_string(aFailures) + " pause_ms=" + std::to_string(pause.count()) +
      " detail=\"" + aFailure.m_detail + "\"");
}

void
RegistryEventLog::OnReachable(const registry::RegistryRevision& aRevision)
{
  m_effects.LogStateChange("registry_reachable",
                           "revision=" + ToString(aRevision));
}

void
RegistryEventLog::OnEpoch(const registry::RegistryRevision& aRevision,
                          std::size_t aKept)
{
  m_effects.LogStateChange("registry_epoch",
                           "epoch=" + std::to_string(aRevision.m_epoch) +
                             " revision=" + std::to_string(aRevision.m_number) +
                             " kept=" + std::to_string(aKept));
}

void
RegistryEventLog::OnListed(const registry::RegistryRevision& aRevision,
                           std::size_t aFacts)
{
  m_effects.LogStateChange("registry_listed",
                           "revision=" + ToString(aRevision) + " facts=" +
                             std::to_string(aFacts) + TakeSummary());
}

} // namespace wasabiloom::token
