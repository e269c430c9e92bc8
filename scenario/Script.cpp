#include "Script.h"

#include <charconv>
#include <functional>
#include <map>
#include <sstream>

namespace wasabiloom::scenario {

namespace {

using base::Result;
using base::ResultCode;
using Words = std::vector<std::string>;

boost::leaf::error_id
Expected(const std::string& aWhat)
{
  return base::Fail(ResultCode::UsageError, "expected " + aWhat);
}

Result<double>
ParseNumber(const std::string& aWord)
{
  double value = 0;
  const char* end = aWord.data() + aWord.size();
  const auto parsed = std::from_chars(aWord.data(), end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return Expected("a number, found \"" + aWord + "\"");
  }
  return value;
}

Result<int>
ParseCount(const std::string& aWord)
{
  BOOST_LEAF_AUTO(value, ParseNumber(aWord));
  return static_cast<int>(value);
}

Result<void>
Require(const Words& aWords, std::size_t aCount, const char* aForm)
{
  if (aWords.size() != aCount) {
    return Expected(aForm);
  }
  return {};
}

Result<void>
ReadSeed(Script& aScript, const Words& aWords, int /*aLine*/)
{
  BOOST_LEAF_CHECK(Require(aWords, 2, "seed NUMBER"));
  BOOST_LEAF_AUTO(seed, ParseNumber(aWords[1]));
  aScript.m_seed = static_cast<std::uint64_t>(seed);
  return {};
}

Result<void>
ReadZones(Script& aScript, const Words& aWords, int /*aLine*/)
{
  aScript.m_zones.assign(aWords.begin() + 1, aWords.end());
  return {};
}

Result<void>
ReadHosts(Script& aScript, const Words& aWords, int /*aLine*/)
{
  BOOST_LEAF_CHECK(Require(aWords, 2, "hosts COUNT"));
  BOOST_LEAF_ASSIGN(aScript.m_hosts, ParseCount(aWords[1]));
  return {};
}

Result<void>
ReadLink(Script& aScript, const Words& aWords, int /*aLine*/)
{
  BOOST_LEAF_CHECK(Require(aWords, 6, "link delay LEAST MOST loss PERCENT"));
  BOOST_LEAF_ASSIGN(aScript.m_link.m_least, ParseDuration(aWords[2]));
  BOOST_LEAF_ASSIGN(aScript.m_link.m_most, ParseDuration(aWords[3]));
  BOOST_LEAF_AUTO(percent, ParseNumber(aWords[5]));
  constexpr double kPercent = 100;
  aScript.m_link.m_loss = percent / kPercent;
  return {};
}

Result<void>
ReadService(Script& aScript, const Words& aWords, int /*aLine*/)
{
  BOOST_LEAF_CHECK(
    Require(aWords, 4, "service NAME connections|requests COUNT"));
  ServiceSpec service;
  service.m_name = aWords[1];
  service.m_requests = aWords[2] == "requests";
  BOOST_LEAF_ASSIGN(service.m_targets, ParseCount(aWords[3]));
  aScript.m_services.push_back(service);
  return {};
}

Result<void>
ReadFlows(Script& aScript, const Words& aWords, int /*aLine*/)
{
  BOOST_LEAF_CHECK(
    Require(aWords,
            10,
            "flows SERVICE COUNT over TIME life SHORTEST LONGEST gap TIME"));
  FlowSpec flows;
  flows.m_service = aWords[1];
  BOOST_LEAF_ASSIGN(flows.m_count, ParseCount(aWords[2]));
  BOOST_LEAF_ASSIGN(flows.m_over, ParseDuration(aWords[4]));
  BOOST_LEAF_ASSIGN(flows.m_shortest, ParseDuration(aWords[6]));
  BOOST_LEAF_ASSIGN(flows.m_longest, ParseDuration(aWords[7]));
  BOOST_LEAF_ASSIGN(flows.m_gap, ParseDuration(aWords[9]));
  aScript.m_flows.push_back(flows);
  return {};
}

Result<void>
ReadRequests(Script& aScript, const Words& aWords, int /*aLine*/)
{
  BOOST_LEAF_CHECK(
    Require(aWords,
            8,
            "requests SERVICE RATE repeatable|once deadline TIME work TIME"));
  RequestSpec requests;
  requests.m_service = aWords[1];
  BOOST_LEAF_ASSIGN(requests.m_perSecond, ParseNumber(aWords[2]));
  requests.m_repeatable = aWords[3] == "repeatable";
  BOOST_LEAF_ASSIGN(requests.m_deadline, ParseDuration(aWords[5]));
  BOOST_LEAF_ASSIGN(requests.m_work, ParseDuration(aWords[7]));
  aScript.m_requests.push_back(requests);
  return {};
}

Result<void>
ReadStep(Script& aScript, const Words& aWords, int aLine)
{
  if (aWords.size() < 3) {
    return Expected("at TIME VERB WORD...");
  }
  BOOST_LEAF_AUTO(at, ParseDuration(aWords[1]));
  aScript.m_steps.push_back(
    { at, { aWords.begin() + 2, aWords.end() }, aLine });
  return {};
}

Result<void>
ReadRun(Script& aScript, const Words& aWords, int /*aLine*/)
{
  BOOST_LEAF_CHECK(Require(aWords, 2, "run TIME"));
  BOOST_LEAF_ASSIGN(aScript.m_length, ParseDuration(aWords[1]));
  return {};
}

Result<void>
ReadExpectation(Script& aScript, const Words& aWords, int aLine)
{
  BOOST_LEAF_CHECK(Require(aWords, 4, "expect MEASURE =|<=|>= NUMBER"));
  const std::string& relation = aWords[2];
  if (relation != "=" && relation != "<=" && relation != ">=") {
    return Expected("=, <= or >=, found \"" + relation + "\"");
  }
  BOOST_LEAF_AUTO(bound, ParseNumber(aWords[3]));
  aScript.m_expectations.push_back({ aWords[1], relation, bound, aLine });
  return {};
}

using Reader = Result<void> (*)(Script&, const Words&, int);

const std::map<std::string, Reader>&
Readers()
{
  static const std::map<std::string, Reader> sReaders = {
    { "seed", ReadSeed },         { "zones", ReadZones },
    { "hosts", ReadHosts },       { "link", ReadLink },
    { "service", ReadService },   { "flows", ReadFlows },
    { "requests", ReadRequests }, { "at", ReadStep },
    { "run", ReadRun },           { "expect", ReadExpectation },
  };
  return sReaders;
}

Result<void>
ReadLine(Script& aScript, const Words& aWords, int aLine)
{
  const auto reader = Readers().find(aWords.front());
  if (reader == Readers().end()) {
    return Expected("a command, found \"" + aWords.front() + "\"");
  }
  return reader->second(aScript, aWords, aLine);
}

Words
Split(const std::string& aLine)
{
  std::istringstream in(aLine.substr(0, aLine.find('#')));
  Words words;
  for (std::string word; in >> word;) {
    words.push_back(word);
  }
  return words;
}

} // namespace

Result<base::Duration>
ParseDuration(const std::string& aWord)
{
  double value = 0;
  const char* end = aWord.data() + aWord.size();
  const auto parsed = std::from_chars(aWord.data(), end, value);
  const std::string unit(parsed.ptr, end);
  static const std::map<std::string, double> sNanoseconds = { { "ms", 1e6 },
                                                              { "s", 1e9 },
                                                              { "m", 60e9 } };
  const auto scale = sNanoseconds.find(unit);
  if (parsed.ec != std::errc{} || scale == sNanoseconds.end()) {
    return Expected("a time such as 250ms, 10s or 5m, found \"" + aWord + "\"");
  }
  return base::Duration(
    static_cast<base::Duration::rep>(value * scale->second));
}

Result<Script>
ParseScript(std::string_view aText)
{
  Script script;
  std::istringstream lines{ std::string(aText) };
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    const Words words = Split(line);
    if (words.empty()) {
      continue;
    }
    std::string problem;
    base::Handle(
      [&] { return ReadLine(script, words, number); },
      [&](const base::Problem& aProblem) { problem = aProblem.m_detail; });
    if (!problem.empty()) {
      return base::Fail(ResultCode::UsageError,
                        "line " + std::to_string(number) + ": " + problem);
    }
  }
  return script;
}

} // namespace wasabiloom::scenario
