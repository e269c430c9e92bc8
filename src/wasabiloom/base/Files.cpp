#include "wasabiloom/base/Files.h"

#include <cstdio>
#include <fstream>
#include <iterator>

namespace wasabiloom::base {

Result<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::string content((std::istreambuf_iterator<char>(in)),
                      std::istreambuf_iterator<char>());
  if (!in.is_open() || in.bad()) {
    return Fail(ResultCode::FileUnreadable, "cannot read " + aPath);
  }
  return content;
}

Result<void>
WriteFile(const std::string& aPath, std::string_view aContent)
{
  const std::string temporary = aPath + ".new";
  std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
  out.write(aContent.data(), static_cast<std::streamsize>(aContent.size()));
  out.close();
  if (!out || std::rename(temporary.c_str(), aPath.c_str()) != 0) {
    return Fail(ResultCode::FileUnwritable, "cannot write " + aPath);
  }
  return {};
}

} // namespace wasabiloom::base
