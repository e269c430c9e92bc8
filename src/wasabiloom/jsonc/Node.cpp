#include "wasabiloom/jsonc/Node.h"

#include <array>

namespace wasabiloom::jsonc {

std::string
KindOf(const Node& aNode)
{
  static constexpr std::array kKinds = { "null",   "boolean", "integer",
                                         "number", "string",  "array",
                                         "object" };
  return kKinds.at(aNode.m_content.index());
}

} // namespace wasabiloom::jsonc
