#include "wasabiloom/jsonc/Node.h"

#include <array>

namespace wasabiloom::jsonc {

std::string
KindOf(const Node& aNode)
{
  static constexpr std::array sKinds = { "null",   "boolean", "integer",
                                         "number", "string",  "array",
                                         "object" };
  return sKinds.at(aNode.m_content.index());
}

} // namespace wasabiloom::jsonc
