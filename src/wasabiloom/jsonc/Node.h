/// Tree of a JSON text with comments that remembers where each value stood.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wasabiloom::jsonc {

struct Member;
struct Node;

/// Members of an object in the order of the text.
using Members = std::vector<Member>;

/// Elements of an array.
using Elements = std::vector<Node>;

/// Content of a node; std::monostate stands for null.
using Content = std::variant<std::monostate,
                             bool,
                             std::int64_t,
                             double,
                             std::string,
                             Elements,
                             Members>;

/// One value with its line (from 1) and its path, such as "services[0].name".
struct Node
{
  Content m_content;
  int m_line = 0;
  std::string m_path;
};

/// One member of an object.
struct Member
{
  std::string m_key;
  Node m_value;
};

/// "object", "integer", ... for messages. Thread safe.
std::string
KindOf(const Node& aNode);

} // namespace wasabiloom::jsonc
