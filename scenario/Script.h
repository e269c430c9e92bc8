/// The scenario language: one command a line, words separated by blanks.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/base/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiloom::scenario {

/// `service NAME connections|requests COUNT`.
struct ServiceSpec
{
  std::string m_name;
  bool m_requests = false;
  int m_targets = 0;

  friend auto operator<=>(const ServiceSpec&, const ServiceSpec&) = default;
};

/// `flows SERVICE COUNT over TIME life SHORTEST LONGEST gap TIME`: flows held
/// open; one that ends is replaced by a new one.
struct FlowSpec
{
  std::string m_service;
  int m_count = 0;
  base::Duration m_over{ 0 };
  base::Duration m_shortest{ 0 };
  base::Duration m_longest{ 0 };
  base::Duration m_gap{ 0 };

  friend auto operator<=>(const FlowSpec&, const FlowSpec&) = default;
};

/// `requests SERVICE RATE repeatable|once deadline TIME work TIME`.
struct RequestSpec
{
  std::string m_service;
  double m_perSecond = 0;
  bool m_repeatable = false;
  base::Duration m_deadline{ 0 };
  base::Duration m_work{ 0 };

  friend auto operator<=>(const RequestSpec&, const RequestSpec&) = default;
};

/// `at TIME VERB WORD...`.
struct Step
{
  base::Duration m_at{ 0 };
  std::vector<std::string> m_words;
  int m_line = 0;

  friend auto operator<=>(const Step&, const Step&) = default;
};

/// `expect MEASURE =|<=|>= NUMBER`.
struct Expectation
{
  std::string m_measure;
  std::string m_relation;
  double m_bound = 0;
  int m_line = 0;

  friend auto operator<=>(const Expectation&, const Expectation&) = default;
};

/// `link delay LEAST MOST loss PERCENT`: between entry hosts.
struct LinkSpec
{
  base::Duration m_least{ 0 };
  base::Duration m_most{ 0 };
  double m_loss = 0;

  friend auto operator<=>(const LinkSpec&, const LinkSpec&) = default;
};

/// A whole scenario.
struct Script
{
  std::uint64_t m_seed = 1;
  std::vector<std::string> m_zones;
  int m_hosts = 0;
  LinkSpec m_link;
  std::vector<ServiceSpec> m_services;
  std::vector<FlowSpec> m_flows;
  std::vector<RequestSpec> m_requests;
  std::vector<Step> m_steps;
  std::vector<Expectation> m_expectations;
  base::Duration m_length{ 0 };

  friend auto operator<=>(const Script&, const Script&) = default;
};

/// Parses a scenario. Errors: UsageError with the line and what was expected.
/// Thread safe.
base::Result<Script>
ParseScript(std::string_view aText);

/// Parses "250ms", "10s" or "5m". Errors: UsageError. Thread safe.
base::Result<base::Duration>
ParseDuration(const std::string& aWord);

} // namespace wasabiloom::scenario
