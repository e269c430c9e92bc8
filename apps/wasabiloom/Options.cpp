#include "Options.h"

#include <sstream>

namespace wasabiloom::cli {

namespace options = boost::program_options;

base::Result<options::variables_map>
ParseOptions(const std::vector<std::string>& aWords,
             const options::options_description& aKnown,
             const std::vector<std::string>& aPositional)
{
  options::positional_options_description positional;
  for (const std::string& name : aPositional) {
    positional.add(name.c_str(), 1);
  }
  options::variables_map chosen;
  try {
    options::store(options::command_line_parser(aWords)
                     .options(aKnown)
                     .positional(positional)
                     .run(),
                   chosen);
    options::notify(chosen);
  } catch (const options::error& failure) {
    std::ostringstream text;
    text << failure.what() << "\n" << aKnown;
    return base::Fail(base::ResultCode::UsageError, text.str());
  }
  return chosen;
}

} // namespace wasabiloom::cli
