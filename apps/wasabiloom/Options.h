/// Command-line options of one command.
#pragma once

#include "wasabiloom/base/Result.h"

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace wasabiloom::cli {

/// Parses `aWords`; words without a dash go to the options named in
/// `aPositional`, in order. Errors: UsageError, with the known options.
base::Result<boost::program_options::variables_map>
ParseOptions(const std::vector<std::string>& aWords,
             const boost::program_options::options_description& aKnown,
             const std::vector<std::string>& aPositional);

} // namespace wasabiloom::cli
