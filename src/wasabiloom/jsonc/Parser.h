/// Parses JSON with // and /* */ comments into a tree with line numbers.
#pragma once

#include "wasabiloom/base/Result.h"
#include "wasabiloom/jsonc/Node.h"

#include <string_view>

namespace wasabiloom::jsonc {

/// Parses `aText`. Errors: JsonSyntax with the line, JsonClash for a key that
/// stands twice in one object. Thread safe.
base::Result<Node>
Parse(std::string_view aText);

} // namespace wasabiloom::jsonc
