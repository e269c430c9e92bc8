#include "wasabiloom/jsonc/Parser.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <limits>

namespace wasabiloom::jsonc {

namespace {

using base::Problem;
using base::ResultCode;

constexpr std::size_t kMaxDepth = 32;

/// Input iterator that counts the lines the lexer has consumed.
class CountingIterator
{
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* aAt, int* aLine)
    : m_at(aAt)
    , m_line(aLine)
  {
  }

  reference operator*() const { return *m_at; }

  CountingIterator& operator++()
  {
    if (*m_at == '\n') {
      ++*m_line;
    }
    ++m_at;
    return *this;
  }

  CountingIterator operator++(int)
  {
    CountingIterator before = *this;
    ++*this;
    return before;
  }

  bool operator==(const CountingIterator& aOther) const
  {
    return m_at == aOther.m_at;
  }

  bool operator!=(const CountingIterator& aOther) const = default;

private:
  const char* m_at;
  int* m_line;
};

/// Receives the events of nlohmann's SAX parser; its interface sets the
/// method names.
class TreeBuilder
{
public:
  explicit TreeBuilder(const int& aLine)
    : m_line(aLine)
  {
  }

  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return Add(std::monostate{}); }
  bool boolean(bool aValue) { return Add(aValue); }
  bool number_integer(std::int64_t aValue) { return Add(aValue); }

  bool number_unsigned(std::uint64_t aValue)
  {
    if (aValue > std::uint64_t{ std::numeric_limits<std::int64_t>::max() }) {
      return Add(static_cast<double>(aValue));
    }
    return Add(static_cast<std::int64_t>(aValue));
  }

  bool number_float(double aValue, const std::string& /*aText*/)
  {
    return Add(aValue);
  }

  bool string(std::string& aValue) { return Add(std::move(aValue)); }
  bool binary(std::vector<std::uint8_t>& /*aValue*/) { return false; }
  bool start_object(std::size_t /*aSize*/) { return Open(Members{}); }
  bool start_array(std::size_t /*aSize*/) { return Open(Elements{}); }
  bool end_object() { return Close(); }
  bool end_array() { return Close(); }

  bool key(std::string& aName)
  {
    const auto& members = std::get<Members>(m_open.back()->m_content);
    const bool clash = std::ranges::any_of(
      members, [&](const auto& aMember) { return aMember.m_key == aName; });
    if (clash) {
      m_problem = Problem{ ResultCode::JsonClash,
                           "line " + std::to_string(m_line) + ": key \"" +
                             aName + "\" stands twice, expected once" };
      return false;
    }
    m_key = std::move(aName);
    return true;
  }

  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& aToken,
                   const nlohmann::json::exception& /*aException*/)
  {
    m_problem =
      Problem{ ResultCode::JsonSyntax,
               "line " + std::to_string(m_line) +
                 ": expected JSON with comments, near \"" + aToken + "\"" };
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

  Node& Root() { return m_root; }
  const Problem& GetProblem() const { return m_problem; }

private:
  std::string PathOfNext() const
  {
    if (m_open.empty()) {
      return "";
    }
    const Node& parent = *m_open.back();
    if (const auto* elements = std::get_if<Elements>(&parent.m_content)) {
      return parent.m_path + "[" + std::to_string(elements->size()) + "]";
    }
    return parent.m_path.empty() ? m_key : parent.m_path + "." + m_key;
  }

  Node* Place(Content aContent)
  {
    Node node{ std::move(aContent), m_line, PathOfNext() };
    if (m_open.empty()) {
      m_root = std::move(node);
      return &m_root;
    }
    Content& parent = m_open.back()->m_content;
    if (auto* elements = std::get_if<Elements>(&parent)) {
      return &elements->emplace_back(std::move(node));
    }
    auto& members = std::get<Members>(parent);
    members.push_back({ std::move(m_key), std::move(node) });
    return &members.back().m_value;
  }

  bool Add(Content aContent)
  {
    Place(std::move(aContent));
    return true;
  }

  bool Open(Content aContent)
  {
    if (m_open.size() >= kMaxDepth) {
      m_problem =
        Problem{ ResultCode::JsonSyntax,
                 "line " + std::to_string(m_line) + ": nested deeper than " +
                   std::to_string(kMaxDepth) + " levels" };
      return false;
    }
    m_open.push_back(Place(std::move(aContent)));
    return true;
  }

  bool Close()
  {
    m_open.pop_back();
    return true;
  }

  const int& m_line;
  Node m_root;
  std::vector<Node*> m_open;
  std::string m_key;
  Problem m_problem;
};

} // namespace

base::Result<Node>
Parse(std::string_view aText)
{
  int line = 1;
  TreeBuilder builder(line);
  const bool parsed = nlohmann::json::sax_parse(
    CountingIterator(aText.data(), &line),
    CountingIterator(aText.data() + aText.size(), &line),
    &builder,
    nlohmann::json::input_format_t::json,
    true,
    true);
  if (!parsed) {
    return boost::leaf::new_error(builder.GetProblem());
  }
  return std::move(builder.Root());
}

} // namespace wasabiloom::jsonc
