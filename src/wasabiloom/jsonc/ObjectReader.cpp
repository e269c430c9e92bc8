#include "wasabiloom/jsonc/ObjectReader.h"

#include <algorithm>

namespace wasabiloom::jsonc {

namespace {

using base::Result;
using base::ResultCode;

constexpr std::size_t kMaxTextBytes = 255;

boost::leaf::error_id
WrongType(const Node& aNode, std::string_view aExpected)
{
  return FailAt(aNode,
                ResultCode::JsonWrongType,
                "expected " + std::string(aExpected) + ", found " +
                  KindOf(aNode));
}

template<typename T>
Result<T>
Get(const Node& aNode, std::string_view aExpected)
{
  if (const auto* value = std::get_if<T>(&aNode.m_content)) {
    return *value;
  }
  return WrongType(aNode, aExpected);
}

Result<std::string>
GetText(const Node& aNode)
{
  BOOST_LEAF_AUTO(text, Get<std::string>(aNode, "string"));
  if (text.empty() || text.size() > kMaxTextBytes) {
    return FailAt(
      aNode, ResultCode::JsonOutOfRange, "expected 1 to 255 characters");
  }
  return text;
}

Result<std::int64_t>
GetInteger(const Node& aNode, std::int64_t aLow, std::int64_t aHigh)
{
  BOOST_LEAF_AUTO(value, Get<std::int64_t>(aNode, "integer"));
  if (value < aLow || value > aHigh) {
    return FailAt(aNode,
                  ResultCode::JsonOutOfRange,
                  "expected " + std::to_string(aLow) + " to " +
                    std::to_string(aHigh) + ", found " + std::to_string(value));
  }
  return value;
}

} // namespace

boost::leaf::error_id
FailAt(const Node& aNode, ResultCode aCode, const std::string& aText)
{
  const std::string path = aNode.m_path.empty() ? "document" : aNode.m_path;
  return base::Fail(
    aCode, "line " + std::to_string(aNode.m_line) + ": " + path + ": " + aText);
}

ObjectReader::ObjectReader(const Node& aNode)
  : m_node(&aNode)
{
}

Result<ObjectReader>
ObjectReader::Open(const Node& aNode)
{
  if (!std::holds_alternative<Members>(aNode.m_content)) {
    return WrongType(aNode, "object");
  }
  return ObjectReader(aNode);
}

const Node*
ObjectReader::OptionalMember(std::string_view aKey)
{
  m_known.emplace(aKey);
  const auto& members = std::get<Members>(m_node->m_content);
  const auto found = std::ranges::find_if(
    members, [&](const auto& aMember) { return aMember.m_key == aKey; });
  return found == members.end() ? nullptr : &found->m_value;
}

Result<const Node*>
ObjectReader::Member(std::string_view aKey)
{
  const Node* node = OptionalMember(aKey);
  if (node == nullptr) {
    return FailAt(*m_node,
                  ResultCode::JsonMissingKey,
                  "expected key \"" + std::string(aKey) + "\"");
  }
  return node;
}

Result<std::string>
ObjectReader::Text(std::string_view aKey)
{
  BOOST_LEAF_AUTO(node, Member(aKey));
  return GetText(*node);
}

Result<std::string>
ObjectReader::TextOr(std::string_view aKey, std::string_view aDefault)
{
  const Node* node = OptionalMember(aKey);
  if (node == nullptr) {
    return std::string(aDefault);
  }
  return GetText(*node);
}

Result<std::size_t>
ObjectReader::ChoiceOrFirst(std::string_view aKey,
                            std::span<const std::string_view> aChoices)
{
  const Node* node = OptionalMember(aKey);
  if (node == nullptr) {
    return std::size_t{ 0 };
  }
  BOOST_LEAF_AUTO(text, GetText(*node));
  std::string expected;
  for (std::size_t i = 0; i < aChoices.size(); ++i) {
    if (aChoices[i] == text) {
      return i;
    }
    expected += (i == 0 ? "\"" : ", \"") + std::string(aChoices[i]) + "\"";
  }
  return FailAt(*node,
                ResultCode::JsonOutOfRange,
                "expected one of " + expected + ", found \"" + text + "\"");
}

Result<std::int64_t>
ObjectReader::Integer(std::string_view aKey,
                      std::int64_t aLow,
                      std::int64_t aHigh)
{
  BOOST_LEAF_AUTO(node, Member(aKey));
  return GetInteger(*node, aLow, aHigh);
}

Result<std::int64_t>
ObjectReader::IntegerOr(std::string_view aKey,
                        std::int64_t aLow,
                        std::int64_t aHigh,
                        std::int64_t aDefault)
{
  const Node* node = OptionalMember(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  return GetInteger(*node, aLow, aHigh);
}

Result<double>
ObjectReader::NumberOr(std::string_view aKey,
                       double aLow,
                       double aHigh,
                       double aDefault)
{
  const Node* node = OptionalMember(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto* whole = std::get_if<std::int64_t>(&node->m_content);
  const auto* fraction = std::get_if<double>(&node->m_content);
  if (whole == nullptr && fraction == nullptr) {
    return WrongType(*node, "number");
  }
  const double value =
    whole != nullptr ? static_cast<double>(*whole) : *fraction;
  if (value < aLow || value > aHigh) {
    return FailAt(*node,
                  ResultCode::JsonOutOfRange,
                  "expected " + std::to_string(aLow) + " to " +
                    std::to_string(aHigh) + ", found " + std::to_string(value));
  }
  return value;
}

Result<bool>
ObjectReader::FlagOr(std::string_view aKey, bool aDefault)
{
  const Node* node = OptionalMember(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  return Get<bool>(*node, "boolean");
}

Result<base::Endpoint>
ObjectReader::EndpointAt(std::string_view aKey)
{
  BOOST_LEAF_AUTO(node, Member(aKey));
  BOOST_LEAF_AUTO(text, GetText(*node));
  const auto endpoint = base::ParseEndpoint(text);
  if (!endpoint) {
    return FailAt(*node,
                  ResultCode::JsonOutOfRange,
                  "expected \"A.B.C.D:PORT\", found \"" + text + "\"");
  }
  return *endpoint;
}

Result<base::Ipv4Address>
ObjectReader::AddressAt(std::string_view aKey)
{
  BOOST_LEAF_AUTO(node, Member(aKey));
  BOOST_LEAF_AUTO(text, GetText(*node));
  const auto address = base::ParseIpv4(text);
  if (!address) {
    return FailAt(*node,
                  ResultCode::JsonOutOfRange,
                  "expected \"A.B.C.D\", found \"" + text + "\"");
  }
  return *address;
}

Result<const Elements*>
ObjectReader::Array(std::string_view aKey)
{
  BOOST_LEAF_AUTO(node, Member(aKey));
  const auto* elements = std::get_if<Elements>(&node->m_content);
  if (elements == nullptr) {
    return WrongType(*node, "array");
  }
  return elements;
}

Result<void>
ObjectReader::Finish() const
{
  for (const auto& [key, node] : std::get<Members>(m_node->m_content)) {
    if (!m_known.contains(key)) {
      std::string expected;
      for (const auto& known : m_known) {
        expected += (expected.empty() ? "" : ", ") + known;
      }
      return FailAt(node,
                    ResultCode::JsonUnknownKey,
                    "unknown key, expected one of " + expected);
    }
  }
  return {};
}

} // namespace wasabiloom::jsonc
